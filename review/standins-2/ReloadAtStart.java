import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Case: the settings files of machines change while their processes start. The signal that tells of the change ends the
 * processes.
 */
final class ReloadAtStart {
    /** The signal comes this long after the start of a process; the platform starts one that has ended after a moment. */
    private static final long CHANGE_AFTER_MS = 150;
    private static final long RESTART_MS = 500;
    private static final long LENGTH_MS = 20_000;
    private static final int CHANGES = 4;

    private ReloadAtStart() {}

    public static void main(String[] arguments) {
        Site.run(() -> play(Path.of(arguments[0])));
    }

    private static void play(Path recordFile) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Runner.Work work = new Runner.Work() {
            @Override public long ms(String task, String spec) {
                return 20;
            }

            @Override public int cpu(String task, String spec) {
                return 1_000;
            }
        };
        Site site = new Site(recordFile, 2, work, "hall", "hall", "room", "room", "bay", "loft");
        site.start();
        long startMs = Clock.nowMs();
        List<Machine> changed = site.machines.subList(0, 2);
        Map<Machine, Integer> ends = new HashMap<>();
        Map<Machine, Integer> changes = new HashMap<>();
        Map<Machine, Long> startedMs = new HashMap<>();
        Map<Machine, Long> restartAtMs = new HashMap<>();
        for (Machine machine : site.machines) startedMs.put(machine, startMs);
        while (Clock.nowMs() - startMs < LENGTH_MS) {
            for (Machine machine : site.machines) {
                long sinceMs = Clock.nowMs() - startedMs.get(machine);
                boolean isChanged = changes.getOrDefault(machine, 0) > ends.getOrDefault(machine, 0);
                if (machine.isUp()) {
                    if (!hasTrouble || !changed.contains(machine) || isChanged || sinceMs < CHANGE_AFTER_MS) continue;
                    if (changes.merge(machine, 1, Integer::sum) <= CHANGES) machine.signal("HUP");
                } else if (!restartAtMs.containsKey(machine)) {
                    ends.merge(machine, 1, Integer::sum);
                    site.record.line("machine " + machine.name + " has ended by itself, status " + machine.exitStatus());
                    restartAtMs.put(machine, Clock.nowMs() + RESTART_MS);
                } else if (Clock.nowMs() >= restartAtMs.get(machine)) {
                    restartAtMs.remove(machine);
                    machine.start();
                    startedMs.put(machine, Clock.nowMs());
                }
            }
            Clock.sleep(5);
        }
        long often = ends.values().stream().filter(count -> count >= 3).count();
        String text = often + " of " + site.machines.size() + " machines whose processes ended by themselves three times";
        site.record.line(text);
        Site.exit(often >= 2 ? 1 : 0, text);
    }
}
