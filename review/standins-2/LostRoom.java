import java.io.IOException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Case: a runner is cut off while it runs tasks of a large job, and the machine that took the job from its client pauses
 * at the time at which these tasks are to be started again. Afterwards the other runners get no work any more.
 */
final class LostRoom {
    private static final long RECOVERY_MS = 12_000;
    private static final long MEASURED_MS = 12_000;
    private static final long PAUSE_MS = Integer.getInteger("pause", 330);
    private static final long BETWEEN_PAUSES_MS = 80;

    private LostRoom() {}

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Runner.Work work = new Runner.Work() {
            @Override public long ms(String task, String spec) {
                return spec.equals("proof") ? 760 : spec.equals("probe") ? 20 : 170;
            }

            @Override public int cpu(String task, String spec) {
                return spec.equals("tally") ? 6_800 : 1_000;
            }
        };
        Site site = new Site(Path.of(arguments[0]), 8, work, "hall", "hall", "hall", "room", "room", "room", "bay", "loft");
        site.start();
        if (!site.awaitService(30_000)) Site.exit(2, "the machines don't serve");
        String tally = Client.job("tally", 2, 6_800, 170);
        String proof = Client.job("proof", Integer.getInteger("tasks", 64), 1_000, 760);
        long beforeMs = Clock.nowMs();
        site.traffic(8_000, 40, site.machines, tally);
        long faultMs = Clock.nowMs();
        for (Machine machine : site.machines) machine.signal("KILL");
        Clock.sleep(600);
        site.start();
        long backMs = Clock.nowMs();
        if (!site.awaitService(20_000)) Site.exit(2, "the machines don't serve after they were killed");
        Machine owner = site.owner();
        Machine entry = site.machines.stream().filter(machine -> machine != owner).findFirst().orElseThrow();
        site.record.line("orders come from " + owner.name + ", the large jobs go to " + entry.name);
        Daemon.start(() -> site.traffic(60_000, 40, site.machines, tally));
        AtomicBoolean isOver = new AtomicBoolean();
        if (hasTrouble) Daemon.start(() -> pauseAgainAndAgain(entry, isOver));
        for (int round = 0; round < Integer.getInteger("rounds", 4); round++) {
            Client.submit(entry, site.newId(), proof, site.record, (id, status) -> {});
            Clock.sleep(150);
            List<Runner> busiest = site.runners.stream().sorted(Comparator.comparingInt(r -> -r.runs())).limit(2).toList();
            if (hasTrouble) busiest.forEach(Runner::cut);
            Clock.sleep(1_800);
            if (hasTrouble) busiest.forEach(Runner::heal);
            Clock.sleep(500);
        }
        isOver.set(true);
        site.record.line("no trouble from now on");
        long fromMs = Math.max(backMs + RECOVERY_MS, Clock.nowMs() + 4_000);
        Clock.sleep(fromMs + MEASURED_MS + Client.LIMIT_MS + 500 - Clock.nowMs());
        double before = site.served(beforeMs, faultMs - Client.LIMIT_MS);
        double after = site.served(fromMs, fromMs + MEASURED_MS);
        String text = String.format("served %.2f before the final fault, %.2f later than recoveryS after it", before, after);
        site.record.line(text);
        if (before < 0.25) Site.exit(2, text);
        Site.exit(after < 0.25 ? 1 : 0, text);
    }

    /** Stops the process of a machine for a third of a second at a time. */
    private static void pauseAgainAndAgain(Machine machine, AtomicBoolean isOver) {
        try {
            while (!isOver.get()) {
                machine.signal("STOP");
                Clock.sleep(PAUSE_MS);
                machine.signal("CONT");
                Clock.sleep(BETWEEN_PAUSES_MS);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
