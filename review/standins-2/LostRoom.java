import java.nio.file.Path;
import java.util.Comparator;

/**
 * Case: a runner is cut off while it runs tasks of a large job, and the machine that took the job from its client pauses
 * at the time at which these tasks are to be started again. Afterwards the other runners get no work any more.
 */
final class LostRoom {
    private static final long RECOVERY_MS = 12_000;
    private static final long MEASURED_MS = 12_000;
    private static final int ROUNDS = 18;
    private static final long ROUND_MS = 2_300;
    private static final long PAUSE_MS = 340;

    private LostRoom() {}

    public static void main(String[] arguments) {
        Site.run(() -> play(Path.of(arguments[0])));
    }

    private static void play(Path recordFile) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Runner.Work work = new Runner.Work() {
            @Override public long ms(String task, String spec) {
                return spec.equals("proof") ? 760 : spec.equals("probe") ? 20 : 170;
            }

            @Override public int cpu(String task, String spec) {
                return spec.equals("tally") ? 6_800 : spec.equals("proof") ? 4_000 : 1_000;
            }
        };
        Site site = new Site(recordFile, 8, work, "hall", "hall", "hall", "room", "room", "room", "bay", "loft");
        site.start();
        if (!site.awaitService(30_000)) Site.exit(2, "the machines don't serve");
        String tally = Client.job("tally", 2, 6_800, 170);
        String proof = Client.job("proof", 4, 4_000, 760);
        long beforeMs = Clock.nowMs();
        site.traffic(8_000, 60, site.machines, tally);
        long faultMs = Clock.nowMs();
        for (Machine machine : site.machines) machine.signal("KILL");
        Clock.sleep(600);
        site.start();
        long backMs = Clock.nowMs();
        if (!site.awaitService(20_000)) Site.exit(2, "the machines don't serve after they were killed");
        Machine owner = site.owner();
        Machine entry = site.machines.stream().filter(machine -> machine != owner).findFirst().orElseThrow();
        site.record.line("orders come from " + owner.name + ", the large jobs go to " + entry.name);
        Daemon.start(() -> site.traffic(ROUNDS * ROUND_MS, 20, site.machines, tally));
        for (int round = 0; round < ROUNDS; round++) {
            long roundMs = Clock.nowMs();
            for (int i = 0; i < 2; i++) Client.submit(entry, site.newId(), proof, site.record, (id, status) -> {});
            Clock.sleep(120);
            Runner busiest = site.runners.stream().max(Comparator.comparingInt(Runner::runs)).orElseThrow();
            if (hasTrouble) busiest.cut();
            Clock.sleep(640);
            if (hasTrouble) entry.signal("STOP");
            Clock.sleep(PAUSE_MS);
            if (hasTrouble) entry.signal("CONT");
            Clock.sleep(700);
            if (hasTrouble) busiest.heal();
            Clock.sleep(roundMs + ROUND_MS - Clock.nowMs());
        }
        site.record.line("no trouble from now on");
        long fromMs = Math.max(backMs + RECOVERY_MS, Clock.nowMs() + 4_000);
        site.traffic(fromMs + MEASURED_MS - Clock.nowMs(), 60, site.machines, tally);
        Clock.sleep(Client.LIMIT_MS + 500);
        double before = site.served(beforeMs, faultMs - Client.LIMIT_MS);
        double after = site.served(fromMs, fromMs + MEASURED_MS);
        String text = String.format("served %.2f before the final fault, %.2f later than recoveryS after it", before, after);
        site.record.line(text);
        if (before < 0.25) Site.exit(2, text);
        Site.exit(after < 0.25 ? 1 : 0, text);
    }
}
