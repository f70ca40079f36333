import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A small deployment: the project's instances as processes, stand-ins for the store and the runners, and clients. */
final class Lab implements AutoCloseable {
    /** Bounds of the deployment, those of the installations' pages. */
    static final long CANCEL_MS = 3_000;
    static final long STOP_GRACE_MS = 50;
    static final long RETRANSMIT_MS = 1_300;
    static final long CONTACT_MS = 3_000;
    static final String HOST = "jobs.example";
    static final String PREFIX = "/work/";
    private static final long HEARTBEAT_MS = 1_500;

    /** One instance of the project's program. */
    static final class Instance {
        final String name;
        final String zone;
        final String ip;
        final Map<String, String> listen = new LinkedHashMap<>();
        Process process;

        Instance(String name, String zone, String ip) {
            this.name = name;
            this.zone = zone;
            this.ip = ip;
        }

        InetSocketAddress frontend() {
            String[] parts = listen.get("frontend").split(":");
            return new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
        }
    }

    /** What a client got: the status (0 for a broken connection or none), the body and the time. */
    record Reply(int status, String body, long atMs) {}

    final List<Instance> instances = new ArrayList<>();
    final List<Runner> runners = new ArrayList<>();
    final List<Runner.Run> runs = new CopyOnWriteArrayList<>();
    final AtomicLong orders = new AtomicLong();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final long startedAt = System.nanoTime();
    private final PrintWriter record;
    private final Path temporary;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    Store store;

    Lab(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        temporary = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    long nowMs() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    void record(String line) {
        synchronized (record) {
            record.printf("%8d ms  %s%n", nowMs(), line);
        }
    }

    void later(long delayMs, Runnable action) {
        timer.schedule(action, delayMs, TimeUnit.MILLISECONDS);
    }

    void async(Runnable action) {
        threads.execute(action);
    }

    /** Starts the store, the runners and the instances, and waits until all instances are ready. */
    void start(String[] zones, int instancesPerZone, int runnersPerZone, int cpu, Runner.StopDelay stopDelay) throws Exception {
        record("trouble: " + trouble + "; " + zones.length + " zones, " + instancesPerZone + " instances and " + runnersPerZone + " runners in each");
        store = new Store("127.0.7.1", threads);
        store.put("op", "config", configuration());
        for (int zone = 0; zone < zones.length; zone++) {
            for (int number = 1; number <= runnersPerZone; number++) {
                String ip = "127.0." + (20 + zone) + "." + number;
                runners.add(new Runner("i-" + zones[zone] + "-" + number, zones[zone], ip, cpu, this, threads, stopDelay));
            }
            for (int number = 1; number <= instancesPerZone; number++) {
                instances.add(new Instance("edge-" + zones[zone] + "-" + number, zones[zone], "127.0." + (40 + zone) + "." + number));
            }
        }
        for (Runner runner : runners) timer.scheduleAtFixedRate(() -> store.put("servers", runner.id, runner.entry()), 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
        for (Instance instance : instances) {
            choosePorts(instance);
        }
        for (Instance instance : instances) launch(instance);
        long untilMs = nowMs() + 30_000;
        for (Instance instance : instances) {
            while (!isReady(instance)) {
                if (nowMs() > untilMs) throw new IOException(instance.name + " is not ready");
                Thread.sleep(100);
            }
        }
        record("all instances are ready");
        // All machines are in touch after contactMs without any impairment, their start included.
        Thread.sleep(CONTACT_MS + 1_000);
    }

    /** Chooses free ports; they are held until all are chosen, so that they differ. */
    private static void choosePorts(Instance instance) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        for (String name : List.of("frontend", "ready", "control")) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(instance.ip));
            held.add(socket);
            instance.listen.put(name, instance.ip + ":" + socket.getLocalPort());
        }
        for (ServerSocket socket : held) socket.close();
    }

    private String configuration() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-desk\",\"host\":\"" + HOST + "\",\"prefix\":\"" + PREFIX
            + "\",\"kind\":\"mutating\",\"timeoutMs\":20000,\"targetLatencyMs\":20000,\"priority\":0,\"service\":\"desk\",\"maxAttempts\":4,\"stretch\":1.6}],"
            + "\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"rejectsOverload\":true,\"spare\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    /** Starts [instance] with the command and the template of the deploy file. */
    void launch(Instance instance) throws IOException {
        Map<String, Object> zones = new LinkedHashMap<>();
        instances.forEach(other -> zones.put(other.zone, "central"));
        List<Object> seeds = new ArrayList<>();
        instances.stream().limit(3).forEach(other -> seeds.add(other.listen.get("control")));
        Map<String, Object> machine = new LinkedHashMap<>();
        machine.put("nodeName", instance.name);
        machine.put("role", "dispatcher");
        machine.put("machineClass", "edge");
        machine.put("serves", List.of("edge", "control"));
        machine.put("ip", instance.ip);
        machine.put("zone", instance.zone);
        machine.put("region", "central");
        machine.put("zones", zones);
        machine.put("listen", instance.listen);
        machine.put("seeds", seeds);
        machine.put("bootstrap", true);
        machine.put("limits", Map.of("cpuShare", 0.75, "cores", 1, "memoryMb", 430, "maxFds", 4100));
        machine.put("discovery", "platform");
        machine.put("entry", "vip");
        machine.put("heartbeatMs", HEARTBEAT_MS);
        machine.put("orders", "invoke");
        machine.put("bounds", Map.of("graceS", 6, "contactMs", CONTACT_MS, "cancel_ms", CANCEL_MS, "stopGraceMs", STOP_GRACE_MS, "maxHoldMs", 1000, "retransmitMs", RETRANSMIT_MS));
        machine.put("platform", Map.of("address", store.address(), "form", "table", "writesPerS", 800, "readsPerS", 2000));
        Path settings = temporary.resolve(instance.name + ".json");
        String template = Files.readString(Path.of("deploy/settings.json.template"));
        Files.writeString(settings, template.replace("{{.|json}}", Json.write(machine)));
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream().filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        ProcessBuilder builder = new ProcessBuilder(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("MEDLARROUTE_BOOT", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(new File(temporary.toFile(), instance.name + ".log")));
        instance.process = builder.start();
        record("start of " + instance.name + ", process " + instance.process.pid());
    }

    private boolean isReady(Instance instance) {
        String[] parts = instance.listen.get("ready").split(":");
        return call(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), "GET", "/-/ready", "", 0, 1_000).status == 200;
    }

    /** Sends [signal] to the process of [instance]. */
    void signal(Instance instance, String signal) throws Exception {
        record("signal " + signal + " to " + instance.name);
        new ProcessBuilder("kill", "-" + signal, String.valueOf(instance.process.pid())).start().waitFor();
    }

    /** The instance that owns the runners of [zone] according to the store. */
    Instance owner(String zone) {
        String text = store.get("owners", zone);
        String name = text == null ? "" : String.valueOf(Json.object(text).get("owner"));
        return instances.stream().filter(instance -> instance.name.equals(name)).findFirst().orElse(null);
    }

    Instance instance(String name) {
        return instances.stream().filter(instance -> instance.name.equals(name)).findFirst().orElseThrow();
    }

    /** One HTTP request on a connection of its own, which stays open until the answer or [patienceMs]. */
    Reply call(InetSocketAddress address, String method, String path, String body, long deadlineMs, int patienceMs) {
        try (Socket socket = new Socket()) {
            socket.connect(address, 2_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(patienceMs);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nContent-Type: application/json\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n" + (deadlineMs > 0 ? "X-Deadline-Ms: " + deadlineMs + "\r\n" : "") + "Connection: close\r\n\r\n";
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
            InputStream in = socket.getInputStream();
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            in.transferTo(bytes);
            String text = bytes.toString(StandardCharsets.UTF_8);
            if (!text.startsWith("HTTP/1.1 ")) return new Reply(0, "", nowMs());
            int end = text.indexOf("\r\n\r\n");
            return new Reply(Integer.parseInt(text.substring(9, 12)), end < 0 ? "" : text.substring(end + 4), nowMs());
        } catch (IOException e) {
            return new Reply(0, e.toString(), nowMs());
        }
    }

    /** Hands in a job that need not be kept, and waits for its answer. */
    Reply submit(Instance at, String job, String body, long deadlineMs) {
        record("client hands in job " + job + " at " + at.name);
        Reply reply = call(at.frontend(), "POST", PREFIX + job, body, deadlineMs, (int) deadlineMs + 2_000);
        record("client gets " + reply.status + " " + reply.body + " for job " + job + " from " + at.name);
        return reply;
    }

    Reply cancel(Instance at, String job) {
        record("client cancels job " + job + " at " + at.name);
        Reply reply = call(at.frontend(), "DELETE", PREFIX + job, "", 1_500, 5_000);
        record("client gets " + reply.status + " for the cancel of job " + job + " from " + at.name);
        return reply;
    }

    /** A job with steps of [count] tasks of [workMs] each, every step after the one before it. */
    static String job(int steps, int count, long workMs) {
        StringBuilder text = new StringBuilder("{\"spec\":\"work=" + workMs + "\",\"bestEffort\":true,\"steps\":[");
        for (int step = 0; step < steps; step++) {
            text.append(step > 0 ? "," : "").append("{\"count\":").append(count).append(",\"cpu\":2000,\"memMb\":256,\"estimateMs\":").append(workMs);
            if (step > 0) text.append(",\"after\":[").append(step - 1).append(']');
            text.append('}');
        }
        return text.append("]}").toString();
    }

    /** Waits until [count] tasks of [job] run. Returns whether they do within [patienceMs]. */
    boolean awaitRunning(String job, int count, long patienceMs) throws InterruptedException {
        long untilMs = nowMs() + patienceMs;
        while (nowMs() < untilMs) {
            if (runs.stream().filter(run -> run.task.startsWith(job) && run.endedAtMs < 0).count() >= count) return true;
            Thread.sleep(5);
        }
        return false;
    }

    /** TWICE: pairs of runs of one task that were active at the same time. */
    int countTwice() {
        int found = 0;
        for (Runner.Run one : runs) {
            for (Runner.Run other : runs) {
                if (!one.task.equals(other.task) || one == other || one.startedAtMs > other.startedAtMs) continue;
                if (one.startedAtMs == other.startedAtMs && one.run >= other.run) continue;
                long endMs = one.endedAtMs < 0 ? nowMs() : one.endedAtMs;
                if (other.startedAtMs >= endMs) continue;
                found++;
                record("TWICE: " + one.task + " run " + one.run + " on " + one.runner + " from " + one.startedAtMs + " to " + endMs + " ms (" + one.how
                    + ") and run " + other.run + " on " + other.runner + " from " + other.startedAtMs + " ms");
            }
        }
        return found;
    }

    /** UNASKED: starts of [job] later than cancel_ms after [ackMs], and runs that are active stopGraceMs after that. */
    int countUnasked(String job, long ackMs) {
        int found = 0;
        for (Runner.Run run : runs) {
            if (!run.task.startsWith(job)) continue;
            long endMs = run.endedAtMs < 0 ? nowMs() : run.endedAtMs;
            boolean isLateStart = run.startedAtMs > ackMs + CANCEL_MS;
            boolean runsOn = run.startedAtMs <= ackMs + CANCEL_MS && endMs > ackMs + CANCEL_MS + STOP_GRACE_MS;
            if (!isLateStart && !runsOn) continue;
            found++;
            record("UNASKED: " + run.task + " run " + run.run + " on " + run.runner + (isLateStart ? " starts " + (run.startedAtMs - ackMs) : " is active until " + (endMs - ackMs))
                + " ms after the ack of the cancel (" + run.how + ")");
        }
        return found;
    }

    private void killAll() {
        for (Instance instance : instances) {
            if (instance.process != null) instance.process.destroyForcibly();
        }
    }

    @Override
    public void close() {
        killAll();
        record("all processes are ended");
        String keep = System.getenv("KEEP_LOGS");
        if (keep != null) return;
        try (var files = Files.walk(temporary)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            record("temporary files remain: " + e);
        }
    }
}
