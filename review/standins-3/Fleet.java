import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A small deployment: the store, runners and instances of the program as processes, on loopback addresses. */
class Fleet implements Runner.Observer, AutoCloseable {
    static final String SERVICE = "desk";
    static final String HOST = "floor.example";
    static final long CONTACT_MS = 3_000;
    static final long CANCEL_MS = 3_000;

    /** One instance of the program, with the process that runs at present. */
    final class Instance {
        final String name;
        final String zone;
        final String ip;
        final int frontend;
        final int ready;
        final int control;

        /** Port at which the other instances find it: that of the proxy, if there is one. */
        int peerPort;
        private Path settings;
        private Process process;
        private int starts;
        volatile long startedMs;

        Instance(String name, String zone, String ip) throws IOException {
            this.name = name;
            this.zone = zone;
            this.ip = ip;
            frontend = Web.freePort(ip);
            ready = Web.freePort(ip);
            control = Web.freePort(ip);
            peerPort = control;
        }

        String address() {
            return ip + ":" + frontend;
        }

        synchronized void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.directory(root.toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("MEDLARROUTE_BOOT", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(directory.resolve(name + "-" + (++starts) + ".log").toFile());
            if (isClosed) return;
            process = builder.start();
            if (isClosed) process.destroyForcibly();
            startedMs = record.nowMs();
            record.line("platform starts " + name + " (process " + process.pid() + ")");
        }

        synchronized void kill() {
            record.line("platform kills " + name);
            process.destroyForcibly();
        }

        /** Sends a signal by its name to the process. */
        synchronized void signal(String signal) throws IOException, InterruptedException {
            record.line("platform sends " + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        synchronized boolean isRunning() {
            return process != null && process.isAlive();
        }

        boolean isReady() {
            return Web.call(ip + ":" + ready, "GET", "/-/ready", ip, "", 0, 1_000).status == 200;
        }

        /** Whether it has been running for the whole of contactMs. */
        boolean isInTouch() {
            return isRunning() && record.nowMs() - startedMs >= CONTACT_MS;
        }
    }

    /** A start that a runner has carried out. */
    static final class Start {
        final long atMs;
        final Runner runner;
        final String task;
        final long run;
        final long token;

        Start(long atMs, Runner runner, String task, long run, long token) {
            this.atMs = atMs;
            this.runner = runner;
            this.task = task;
            this.run = run;
            this.token = token;
        }
    }

    final Record record;
    final Store store = new Store();
    final List<Instance> instances = new ArrayList<>();
    final List<Runner> runners = new ArrayList<>();
    final List<Start> starts = new ArrayList<>();
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path root = Path.of(System.getProperty("user.dir"));
    private final Path directory;
    private final List<String> command;
    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private final String subnet;
    private final String platformAddress;
    private volatile boolean isClosed;

    Fleet(Path folder, int instanceCount, List<String> zones, int runnerCount) throws Exception {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
        record = new Record(folder.resolve("record.txt"));
        directory = Files.createTempDirectory("review-3-");
        command = deployedCommand();
        Random random = new Random();
        subnet = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250);
        String platformHost = subnet + ".200";
        int storePort = Web.freePort(platformHost);
        platformAddress = platformHost + ":" + storePort;
        Web.serve(platformHost, storePort, executor, store);
        for (int i = 0; i < instanceCount; i++) {
            String zone = zones.get(i % zones.size());
            instances.add(new Instance("edge-" + zone + "-" + (i / zones.size() + 1), zone, subnet + "." + (i + 1)));
        }
        for (int i = 0; i < runnerCount; i++) addRunner(zones.get(i % zones.size()), random.nextInt(1_000_000));
        record.line("trouble: " + (hasTrouble ? "yes" : "no") + "; logs of the instances are in " + directory);
        Thread beat = new Thread(this::beat);
        beat.setDaemon(true);
        beat.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** The words of the run command in the deploy file. */
    private List<String> deployedCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) return Arrays.asList(line.substring(7, line.length() - 1).split(" "));
        }
        throw new IOException("deploy/system.toml has no run command");
    }

    private void addRunner(String zone, long clockStartMs) throws IOException {
        int number = runners.size() + 1;
        Runner runner = new Runner(
            "r-" + number, zone, SERVICE, 16_000, List.of("a", "r1-" + (number % 3 + 1)), clockStartMs, this);
        String ip = subnet + "." + (100 + number);
        int port = Web.freePort(ip);
        runner.address = ip + ":" + port;
        Web.serve(ip, port, executor, runner);
        runners.add(runner);
    }

    /** Each runner writes its entry every heartbeatMs. */
    private void beat() {
        while (!isClosed) {
            for (Runner runner : runners) store.put("servers", runner.id, runner.entry());
            sleep(1_500);
        }
    }

    /** Writes the settings file of each instance by the template of the deploy file, and starts all of them. */
    void startAll() throws IOException {
        String template = Files.readString(root.resolve("deploy/settings.json.template"));
        Map<String, Object> zones = new LinkedHashMap<>();
        List<Object> seeds = new ArrayList<>();
        for (Instance instance : instances) {
            zones.put(instance.zone, "central");
            if (seeds.size() < 3) seeds.add(seedOf(instance));
        }
        for (Instance instance : instances) {
            Map<String, Object> machine = Json.map(
                "nodeName", instance.name, "role", "dispatcher", "machineClass", "edge",
                "serves", List.of("edge", "control"), "ip", instance.ip, "zone", instance.zone, "region", "central",
                "portRange", List.of(7720, 7735), "seeds", seeds, "bootstrap", true, "countsAsLoss", false,
                "discovery", "platform", "entry", "vip", "heartbeatMs", 1500, "orders", "invoke",
                "contracts", List.of("base", "drain", "config", "cost", "recover", "sched", "platform"), "zones", zones,
                "listen", Json.map(
                    "frontend", instance.address(), "ready", instance.ip + ":" + instance.ready,
                    "control", instance.ip + ":" + instance.control),
                "limits", Json.map("cpuShare", 0.75, "cores", 1, "memoryMb", 430, "maxFds", 4100),
                "bounds", Json.map(
                    "contactMs", 3000, "ackMs", 4000, "drainMs", 2000, "graceS", 6, "configApplyMs", 2000,
                    "maxHoldMs", 1000, "stopGraceMs", 50, "cancel_ms", 3000, "visible_ms", 3000, "spreadFactor", 2,
                    "retransmitMs", 1300),
                "platform", Json.map("address", platformAddress, "form", "table", "retentionS", 20));
            instance.settings = directory.resolve(instance.name + ".json");
            Files.writeString(instance.settings, template.replace("{{.|json}}", Json.text(machine)));
            instance.start();
        }
    }

    /** The address at which the other instances find the control port of [instance]. */
    String seedOf(Instance instance) {
        return instance.ip + ":" + instance.peerPort;
    }

    /** Puts a proxy before the control port of each instance. Called before the instances start. */
    void proxyPeers() throws IOException {
        for (Instance instance : instances) instance.peerPort = Web.freePort(instance.ip);
        store.memberTranslation = this::translate;
        for (Instance instance : instances) {
            new PeerProxy(instance.name, instance.ip, instance.peerPort, instance.control, this::translate);
        }
    }

    private String translate(String text) {
        String translated = text;
        for (Instance it : instances) {
            translated = translated.replace(
                "\"host\":\"" + it.ip + "\",\"port\":" + it.control, "\"host\":\"" + it.ip + "\",\"port\":" + it.peerPort);
        }
        return translated;
    }

    /** Cuts [instance] off from the other instances, or ends that. */
    void cut(Instance instance, boolean isCut) {
        if (isCut) PeerProxy.CUT.add(instance.name);
        else PeerProxy.CUT.remove(instance.name);
        record.line(instance.name + (isCut ? " is cut off from the other instances" : " is no longer cut off"));
    }

    static Map<String, Object> route(String name, String prefix) {
        return Json.map(
            "name", name, "host", HOST, "prefix", prefix, "kind", "mutating", "timeoutMs", 1500, "targetLatencyMs", 60,
            "priority", 0, "service", SERVICE, "maxAttempts", 3, "stretch", 1.6);
    }

    void configure(long version, List<Object> routes) {
        Map<String, Object> service = Json.map(
            "name", SERVICE, "healthPath", "/health", "maxConns", 64, "protocol", "h1", "tls", false,
            "rejectsOverload", true, "spare", false);
        Map<String, Object> limits = Json.map(
            "maxHeaderBytes", 16384, "maxBodyBytes", 262144, "headerTimeoutMs", 3000, "idleTimeoutMs", 15000);
        store.put("op", "config", Json.text(
            Json.map("version", version, "routes", routes, "services", List.of(service), "limits", limits)));
        record.line("operator writes version " + version + " with " + routes.size() + " routes");
    }

    /** Body of a job whose steps run one after the other; each has [count] tasks of [cpu] and lasts [workMs]. */
    static String chain(int steps, int count, long cpu, long workMs) {
        StringBuilder works = new StringBuilder();
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < steps; i++) {
            works.append(i == 0 ? "" : ",").append(workMs);
            Map<String, Object> step = Json.map("count", count, "cpu", cpu, "memMb", 64, "estimateMs", workMs);
            if (i > 0) step.put("after", List.of(i - 1));
            list.add(step);
        }
        return Json.text(Json.map("spec", "work=" + works + " cpu=" + cpu, "steps", list, "bestEffort", true));
    }

    /** Sends a call of a client and records it with its answer. */
    Web.Answer call(Instance instance, String method, String path, String body, long deadlineMs, long waitMs) {
        record.line("client sends " + method + " " + path + " to " + instance.name);
        Web.Answer answer = Web.call(instance.address(), method, path, HOST, body, deadlineMs, waitMs);
        record.line("client gets " + answer + " for " + method + " " + path + " from " + instance.name);
        return answer;
    }

    @Override
    public void started(Runner runner, String task, long run, String spec, long token) {
        synchronized (starts) {
            starts.add(new Start(record.nowMs(), runner, task, run, token));
        }
        record.line("runner " + runner.id + " starts " + task + " run " + run + " (order of " + sender(token) + ")");
    }

    @Override
    public void ended(Runner runner, String task, long run, String how) {
        record.line("runner " + runner.id + " ends " + task + " run " + run + ": " + how);
    }

    /** The starts of tasks of [job] later than [afterMs]. */
    List<Start> startsOf(String job, long afterMs) {
        synchronized (starts) {
            List<Start> found = new ArrayList<>();
            for (Start start : starts) if (start.task.startsWith(job + ".") && start.atMs > afterMs) found.add(start);
            return found;
        }
    }

    /** The instance that has sent [token]: the low 24 bits are those of its address. */
    Instance senderOrNull(long token) {
        for (Instance instance : instances) {
            long suffix = 0;
            for (String octet : instance.ip.split("\\.")) suffix = (suffix << 8) + Long.parseLong(octet);
            if ((suffix & 0xffffff) == (token & 0xffffff)) return instance;
        }
        return null;
    }

    private String sender(long token) {
        Instance instance = senderOrNull(token);
        return instance == null ? "token " + token : instance.name;
    }

    /** The instance that owns all zones by the tokens of the last orders; null if none has given any. */
    Instance lastSenderOrNull() {
        synchronized (starts) {
            return starts.isEmpty() ? null : senderOrNull(starts.get(starts.size() - 1).token);
        }
    }

    boolean await(long limitMs, BooleanSupplier condition) {
        long untilMs = record.nowMs() + limitMs;
        while (record.nowMs() < untilMs) {
            if (condition.getAsBoolean()) return true;
            sleep(50);
        }
        return false;
    }

    /** Waits until all instances are ready; ends the case with 2 if they don't become so. */
    void awaitReady() {
        boolean areReady = await(30_000, () -> instances.stream().allMatch(Instance::isReady));
        if (!areReady) cannotRun("not all instances are ready after 30 s");
        record.line("all instances are ready");
    }

    void cannotRun(String reason) {
        record.line("the case can't run: " + reason);
        exit(2);
    }

    /** Ends the case: 1 if the rule was broken, else 0. */
    void finish(boolean isBroken, String finding) {
        record.line((isBroken ? "BROKEN: " : "held: ") + finding);
        System.out.println((isBroken ? "BROKEN: " : "held: ") + finding);
        exit(isBroken ? 1 : 0);
    }

    private void exit(int status) {
        close();
        Runtime.getRuntime().halt(status);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Runs a call in the background. */
    void inBackground(Runnable action) {
        executor.execute(action);
    }

    @Override
    public void close() {
        if (isClosed) return;
        isClosed = true;
        for (Instance instance : instances) {
            try {
                if (instance.process == null) continue;
                instance.process.destroyForcibly();
                instance.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
