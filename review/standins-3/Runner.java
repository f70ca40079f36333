import com.sun.net.httpserver.HttpExchange;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One runner: leases on its own steady clock, fencing tokens, room, a list of ends.
 *
 * The spec of a job tells the work of its tasks: the numbers after "work=", one for each step, in milliseconds.
 */
final class Runner implements Web.Handler {
    /** Told of each start and end, on all runners. */
    interface Observer {
        void started(Runner runner, String task, long run, String spec, long token);

        void ended(Runner runner, String task, long run, String how);
    }

    private static final class Run {
        long id;
        long startedMs;
        long workMs;
        long cpu;
        long stopsAtMs = Long.MAX_VALUE;
    }

    private static final long MAX_HOLD_MS = 1_000;

    /** A stop takes at most stopGraceMs, which is 50. */
    private static final long STOP_MS = 40;

    final String id;
    final String zone;
    final String service;
    final long capacityCpu;
    final List<Object> labels;
    String address;
    private final Observer observer;
    private final long startNs = System.nanoTime();
    private final long clockStartMs;
    private final long born = System.currentTimeMillis();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<Object> ended = new ArrayList<>();
    private final Map<String, Long> highest = new HashMap<>();
    private long token;
    private long leaseMs;
    private long ends;
    private long sequence;

    /** "ready" or "draining". */
    volatile String state = "ready";

    Runner(String id, String zone, String service, long capacityCpu, List<Object> labels, long clockStartMs, Observer observer) {
        this.id = id;
        this.zone = zone;
        this.service = service;
        this.capacityCpu = capacityCpu;
        this.labels = labels;
        this.clockStartMs = clockStartMs;
        this.observer = observer;
        Thread timer = new Thread(this::expire, "runner " + id);
        timer.setDaemon(true);
        timer.start();
    }

    private long clockMs() {
        return clockStartMs + (System.nanoTime() - startNs) / 1_000_000;
    }

    /** The entry under servers/ID. */
    synchronized String entry() {
        Map<String, Object> capacity = Json.map("cpu", capacityCpu, "memMb", 65536, "gpu", 0);
        return Json.text(Json.map(
            "service", service, "address", address, "zone", zone, "version", "v1", "slots", 8, "state", state,
            "coldLeftMs", 0, "capacity", capacity, "labels", labels, "clockMs", clockMs(), "born", born, "seq", ++sequence));
    }

    /** The runs besides [task], for the record. */
    synchronized String others(String task) {
        StringBuilder others = new StringBuilder();
        for (Map.Entry<String, Run> entry : running.entrySet()) {
            if (entry.getKey().equals(task)) continue;
            others.append(others.length() == 0 ? "" : ", ").append(entry.getKey()).append(" run ").append(entry.getValue().id);
            if (entry.getValue().stopsAtMs < Long.MAX_VALUE) others.append(" (its stop was ordered before)");
        }
        return others.toString();
    }

    private void expire() {
        while (true) {
            synchronized (this) {
                long nowMs = clockMs();
                for (Map.Entry<String, Run> entry : new ArrayList<>(running.entrySet())) {
                    Run run = entry.getValue();
                    if (nowMs > leaseMs) end(entry.getKey(), run, "lapsed");
                    else if (nowMs >= run.stopsAtMs) end(entry.getKey(), run, "stopped");
                    else if (nowMs >= run.startedMs + run.workMs) end(entry.getKey(), run, "done");
                }
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void end(String task, Run run, String how) {
        running.remove(task);
        highest.merge(task, run.id, Math::max);
        ended.add(List.of(++ends, task, run.id, how, ""));
        observer.ended(this, task, run.id, how);
        notifyAll();
    }

    @Override
    public Web.Answer handle(HttpExchange exchange, String body) throws Exception {
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/health")) return new Web.Answer(200, "");
        String target = exchange.getRequestHeaders().getFirst("X-Target-Instance");
        if (target != null && !target.equals(id)) return new Web.Answer(421, "");
        Map<String, Object> call = Json.object(body);
        switch (path) {
            case "/-/run-start": return start(call);
            case "/-/run-stop": return stop(call);
            case "/-/hold": return hold(call);
            default: return new Web.Answer(404, "");
        }
    }

    private Web.Answer refused(String reason) {
        return new Web.Answer(409, Json.text(Json.map("clockMs", clockMs(), "born", born, "reason", reason)));
    }

    private Web.Answer ok() {
        return new Web.Answer(200, Json.text(Json.map("clockMs", clockMs(), "born", born)));
    }

    private void extend(long deadlineMs) {
        leaseMs = Math.max(leaseMs, Math.min(deadlineMs, clockMs() + MAX_HOLD_MS));
    }

    private synchronized Web.Answer start(Map<String, Object> call) {
        String task = (String) call.get("task");
        long run = Json.number(call, "runId", 0);
        long given = Json.number(call, "fencingToken", 0);
        long deadlineMs = Json.number(call, "deadlineMs", 0);
        if (given < token) return refused("fence");
        token = given;
        Run present = running.get(task);
        if (present != null && present.id == run) return ok();
        if (deadlineMs < clockMs()) return refused("late");
        extend(deadlineMs);
        if (run <= highest.getOrDefault(task, 0L) || (present != null && run < present.id)) return refused("old");
        String spec = (String) call.get("spec");
        Run started = new Run();
        started.id = run;
        started.startedMs = clockMs();
        started.workMs = workMs(spec, task);
        started.cpu = cpu(spec);
        long used = started.cpu;
        for (Run other : running.values()) used += other.cpu;
        if (used > capacityCpu) return refused("room");
        running.put(task, started);
        observer.started(this, task, run, spec, given);
        return ok();
    }

    private static long workMs(String spec, String task) {
        String[] parts = task.split("\\.");
        String[] works = after(spec, "work=").split(",");
        return Long.parseLong(works[Math.min(Integer.parseInt(parts[2]), works.length - 1)]);
    }

    private static long cpu(String spec) {
        return Long.parseLong(after(spec, "cpu="));
    }

    private static String after(String spec, String name) {
        for (String word : spec.split(" ")) if (word.startsWith(name)) return word.substring(name.length());
        throw new IllegalArgumentException("no " + name + " in the spec");
    }

    private synchronized Web.Answer stop(Map<String, Object> call) {
        String task = (String) call.get("task");
        long run = Json.number(call, "runId", 0);
        long given = Json.number(call, "fencingToken", 0);
        if (given < token) return refused("fence");
        token = given;
        highest.merge(task, run, Math::max);
        Run present = running.get(task);
        if (present != null && present.id <= run) present.stopsAtMs = Math.min(present.stopsAtMs, clockMs() + STOP_MS);
        return ok();
    }

    private synchronized Web.Answer hold(Map<String, Object> call) throws InterruptedException {
        long given = Json.number(call, "fencingToken", 0);
        if (given < token) return refused("fence");
        token = given;
        long seen = Json.number(call, "lastSeen", 0);
        ended.removeIf(end -> (Long) ((List<?>) end).get(0) <= seen);
        long deadlineMs = Json.number(call, "deadlineMs", -1);
        if (deadlineMs >= 0) extend(deadlineMs);
        long untilMs = clockMs() + Math.min(2_000, Json.number(call, "waitMs", 0));
        while (ended.isEmpty() && clockMs() < untilMs) wait(Math.max(1, untilMs - clockMs()));
        if (given < token) return refused("fence");
        List<Object> runs = new ArrayList<>();
        long nowMs = clockMs();
        for (Map.Entry<String, Run> entry : running.entrySet()) {
            Run run = entry.getValue();
            long percent = Math.min(99, 100 * (nowMs - run.startedMs) / Math.max(1, run.workMs));
            runs.add(List.of(entry.getKey(), run.id, "", percent, 0));
        }
        List<Object> listed = new ArrayList<>(ended.subList(0, Math.min(500, ended.size())));
        return new Web.Answer(
            200, Json.text(Json.map("clockMs", nowMs, "born", born, "running", runs, "ended", listed)));
    }
}
