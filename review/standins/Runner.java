import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;

/**
 * Stand-in for a runner as PROTOCOL.md describes it: leases on its own clock, fencing tokens, a capacity that it guards,
 * a list of ended runs. The work of a task is in the spec: `work=MILLISECONDS`.
 */
final class Runner {
    /** One run of a task; times are milliseconds since the start of the case. */
    static final class Run {
        final String task;
        final long run;
        final String runner;
        final long startedAtMs;
        final long workMs;
        volatile long endedAtMs = -1;
        volatile String how = "running";
        long stopAtMs = -1;

        Run(String task, long run, String runner, long startedAtMs, long workMs) {
            this.task = task;
            this.run = run;
            this.runner = runner;
            this.startedAtMs = startedAtMs;
            this.workMs = workMs;
        }
    }

    /** Decides how long the runner leaves an order to stop unanswered before it carries it out; 0 for a sound one. */
    interface StopDelay {
        long delayMs(Runner runner, String task, long run);
    }

    private static final long MAX_HOLD_MS = 1_000;
    private static final long STOP_MS = 20;
    private static final int CPU_PER_TASK = 2_000;

    final String id;
    final String zone;
    final HttpServer server;
    private final int cpu;
    private final Lab lab;
    private final StopDelay stopDelay;
    private final long born = System.currentTimeMillis();
    private final long createdAt = System.nanoTime();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<List<Object>> ended = new ArrayList<>();
    private final Map<String, Long> highestRuns = new HashMap<>();
    private long token;
    private long leaseUntilMs;
    private long nextEnd = 1;
    private long seq;

    Runner(String id, String zone, String host, int cpu, Lab lab, ExecutorService threads, StopDelay stopDelay) throws Exception {
        this.id = id;
        this.zone = zone;
        this.cpu = cpu;
        this.lab = lab;
        this.stopDelay = stopDelay;
        server = Web.serve(host, threads, this::handle);
        threads.execute(this::runClock);
    }

    private long clockMs() {
        return 50_000 + (System.nanoTime() - createdAt) / 1_000_000;
    }

    /** What the runner says of itself in the store. */
    synchronized String entry() {
        String address = server.getAddress().getHostString() + ":" + server.getAddress().getPort();
        seq++;
        return "{\"service\":\"desk\",\"address\":\"" + address + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{\"cpu\":" + cpu
            + ",\"memMb\":64000,\"gpu\":0},\"labels\":[\"a\",\"r-" + zone + "\"],\"clockMs\":" + clockMs()
            + ",\"born\":" + born + ",\"seq\":" + seq + "}";
    }

    private void runClock() {
        try {
            while (true) {
                Thread.sleep(5);
                synchronized (this) {
                    endDue();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endDue() {
        long now = lab.nowMs();
        boolean isLapsed = clockMs() > leaseUntilMs;
        for (Iterator<Run> runs = running.values().iterator(); runs.hasNext();) {
            Run run = runs.next();
            String how = null;
            if (isLapsed) how = "lapsed";
            else if (run.stopAtMs >= 0 && now >= run.stopAtMs) how = "stopped";
            else if (now - run.startedAtMs >= run.workMs) how = "done";
            if (how == null) continue;
            runs.remove();
            run.how = how;
            run.endedAtMs = now;
            ended.add(List.of(nextEnd++, run.task, run.run, how, ""));
            lab.record("runner " + id + " ends " + run.task + " run " + run.run + ": " + how);
            notifyAll();
        }
    }

    private Web.Answer handle(HttpExchange exchange, String body) throws Exception {
        String target = exchange.getRequestHeaders().getFirst("X-Target-Instance");
        if (target != null && !target.equals(id)) return new Web.Answer(421, "");
        Map<String, Object> call = Json.object(body);
        return switch (exchange.getRequestURI().getPath()) {
            case "/-/run-start" -> start(call);
            case "/-/run-stop" -> stop(call);
            case "/-/hold" -> hold(call);
            default -> new Web.Answer(404, "");
        };
    }

    private Web.Answer ok() {
        return new Web.Answer(200, "{\"clockMs\":" + clockMs() + "}");
    }

    private Web.Answer refused(String reason) {
        return new Web.Answer(409, "{\"clockMs\":" + clockMs() + ",\"reason\":\"" + reason + "\"}");
    }

    private void extendLease(long untilMs) {
        leaseUntilMs = Math.max(leaseUntilMs, Math.min(untilMs, clockMs() + MAX_HOLD_MS));
    }

    private synchronized Web.Answer start(Map<String, Object> call) {
        lab.orders.incrementAndGet();
        String task = (String) call.get("task");
        long run = Json.number(call, "runId", 0);
        long fence = Json.number(call, "fencingToken", 0);
        long deadlineMs = Json.number(call, "deadlineMs", 0);
        if (fence < token) return refused("fence");
        token = fence;
        endDue();
        Run present = running.get(task);
        if (present != null && present.run == run) return ok();
        if (deadlineMs < clockMs()) return refused("late");
        extendLease(deadlineMs);
        if (run <= highestRuns.getOrDefault(task, 0L)) return refused("old");
        if ((running.size() + 1) * CPU_PER_TASK > cpu) return refused("room");
        highestRuns.put(task, run);
        String spec = (String) call.get("spec");
        Run started = new Run(task, run, id, lab.nowMs(), Long.parseLong(spec.replaceAll(".*work=([0-9]+).*", "$1")));
        running.put(task, started);
        lab.runs.add(started);
        lab.record("runner " + id + " starts " + task + " run " + run + " (token " + fence + ")");
        return ok();
    }

    private Web.Answer stop(Map<String, Object> call) throws InterruptedException {
        lab.orders.incrementAndGet();
        String task = (String) call.get("task");
        long run = Json.number(call, "runId", 0);
        long delayMs = stopDelay.delayMs(this, task, run);
        if (delayMs > 0) {
            lab.record("runner " + id + " leaves the stop of " + task + " run " + run + " unanswered, carries it out in " + delayMs + " ms");
            lab.later(delayMs, () -> stopNow(call));
            return null;
        }
        return stopNow(call);
    }

    private synchronized Web.Answer stopNow(Map<String, Object> call) {
        String task = (String) call.get("task");
        long run = Json.number(call, "runId", 0);
        long fence = Json.number(call, "fencingToken", 0);
        if (fence < token) return refused("fence");
        token = fence;
        highestRuns.merge(task, run, Math::max);
        Run present = running.get(task);
        if (present != null && present.run == run && present.stopAtMs < 0) present.stopAtMs = lab.nowMs() + STOP_MS;
        lab.record("runner " + id + " is told to stop " + task + " run " + run);
        return ok();
    }

    private synchronized Web.Answer hold(Map<String, Object> call) throws InterruptedException {
        lab.orders.incrementAndGet();
        long fence = Json.number(call, "fencingToken", 0);
        if (fence < token) return refused("fence");
        token = fence;
        endDue();
        if (call.get("deadlineMs") != null) extendLease(Json.number(call, "deadlineMs", 0));
        long lastSeen = Json.number(call, "lastSeen", 0);
        ended.removeIf(end -> (Long) end.get(0) <= lastSeen);
        long untilMs = lab.nowMs() + Math.min(2_000, Json.number(call, "waitMs", 0));
        while (ended.isEmpty() && lab.nowMs() < untilMs) wait(Math.max(1, untilMs - lab.nowMs()));
        endDue();
        List<Object> rows = new ArrayList<>();
        for (Run run : running.values()) {
            long percent = Math.min(99, (lab.nowMs() - run.startedAtMs) * 100 / Math.max(1, run.workMs));
            rows.add(List.of(run.task, run.run, "", percent, CPU_PER_TASK));
        }
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("clockMs", clockMs());
        report.put("born", born);
        report.put("running", rows);
        report.put("ended", ended.subList(0, Math.min(500, ended.size())));
        return new Web.Answer(200, Json.write(report));
    }
}
