import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A small installation: a store, 32 runners in four zones and the machines of the system. */
final class Site {
    static final String[] ZONES = {"hall", "room", "bay", "loft"};
    final Recorder record;
    final Store store;
    final List<Runner> runners = new ArrayList<>();
    final List<Machine> machines = new ArrayList<>();
    final Random random = new Random(7);
    final ConcurrentLinkedQueue<Answer> answers = new ConcurrentLinkedQueue<>();
    private final Path directory;

    /** The answer to a request that was sent at a time. */
    record Answer(long sentMs, String id, int status) {}

    Site(Path recordFile, int runnersPerZone, Runner.Work work, String... machineZones) throws IOException {
        directory = Files.createTempDirectory("review-2-");
        record = new Recorder(recordFile);
        store = new Store();
        store.put("op", "config", config(1));
        for (int zone = 0; zone < ZONES.length; zone++) {
            for (int i = 0; i < runnersPerZone; i++) {
                String rack = "r" + zone + "-" + i / 6;
                runners.add(new Runner("i-" + zone + "-" + i, ZONES[zone], rack, store, record, work));
            }
        }
        for (int i = 0; i < machineZones.length; i++) machines.add(new Machine(i + 1, machineZones[i], directory, store, record));
        for (Machine machine : machines) machine.seeds(machines.subList(0, Math.min(3, machines.size())));
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    static String config(int version) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-desk\",\"host\":\"" + Client.HOST
            + "\",\"prefix\":\"/desk/\",\"kind\":\"mutating\",\"timeoutMs\":1500,\"targetLatencyMs\":60,\"priority\":1,"
            + "\"service\":\"desk\",\"maxAttempts\":4,\"stretch\":1.6}],\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\","
            + "\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"rejectsOverload\":true,\"spare\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    void start() throws IOException {
        for (Machine machine : machines) machine.start();
    }

    String newId() {
        return String.format("%016x", random.nextLong());
    }

    /** Waits until each machine serves a job; false if one doesn't within the time. */
    boolean awaitService(long forMs) {
        long untilMs = Clock.nowMs() + forMs;
        String body = Client.job("probe", 1, 1_000, 20);
        for (Machine machine : machines) {
            while (true) {
                if (Clock.nowMs() > untilMs) return false;
                if (Client.call(machine, Client.head("POST", "/desk/" + newId(), body.length()), body) == 200) break;
                Clock.sleep(100);
            }
        }
        return true;
    }

    /** The machine that gives orders to the runners now: the one whose token most of them have seen last. */
    Machine owner() {
        return machines.stream().max(Comparator.comparingLong(machine ->
            runners.stream().filter(runner -> (runner.token() & 0xffffff) == machine.tokenDigits()).count())).orElseThrow();
    }

    /** Sends jobs at an even rate to some machines in turn. */
    void traffic(long forMs, int perSecond, List<Machine> to, String body) {
        long fromMs = Clock.nowMs();
        for (int i = 0; Clock.nowMs() - fromMs < forMs; i++) {
            long sentMs = Clock.nowMs();
            Client.submit(to.get(i % to.size()), newId(), body, record, (id, status) -> answers.add(new Answer(sentMs, id, status)));
            Clock.sleep(fromMs + (i + 1) * 1_000L / perSecond - Clock.nowMs());
        }
    }

    /** Share of the requests sent from one time to another that were answered with success. */
    double served(long fromMs, long toMs) {
        List<Answer> sent = answers.stream().filter(a -> a.sentMs >= fromMs && a.sentMs < toMs).toList();
        long good = sent.stream().filter(a -> a.status == 200).count();
        record.line(good + " of " + sent.size() + " requests served, sent from " + fromMs + " to " + toMs + " ms");
        return sent.isEmpty() ? 0 : (double) good / sent.size();
    }

    void end() {
        machines.forEach(Machine::end);
        record.close();
        if (System.getenv("KEEP_LOGS") != null) return;
        try (var files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println("temporary folder: " + e.getMessage());
        }
    }

    /** What a case does. */
    interface Body {
        void run() throws Exception;
    }

    /** Runs a case. If the case itself fails, it could not run. */
    static void run(Body body) {
        try {
            body.run();
        } catch (Exception e) {
            e.printStackTrace();
            exit(2, "the case could not run");
        }
    }

    /** Ends the script: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void exit(int status, String text) {
        System.out.println(text);
        System.exit(status);
    }
}
