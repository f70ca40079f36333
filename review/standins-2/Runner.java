import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Stand-in for a runner: one lease for all runs on its own clock, fencing tokens, room by capacity, a list of ends. It
 * executes the calls run-start, run-stop and hold as the platform's page describes them.
 */
final class Runner {
    /** Tells the work of a task in milliseconds, and its demand in thousandths of a core. */
    interface Work {
        long ms(String task, String spec);

        int cpu(String task, String spec);
    }

    private record Run(String task, int run, String spec, long startedMs, long workMs, int cpu) {}

    private record End(long number, String task, int run, String how) {}

    static final int CPU = 16_000;
    final String id;
    final String zone;
    final String rack;
    private final Store store;
    private final Recorder record;
    private final Work work;
    private final ServerSocket server;
    private final Set<Socket> sockets = new HashSet<>();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<End> ended = new ArrayList<>();
    private final Map<String, Integer> highest = new HashMap<>();
    private final long clockStartMs = Clock.nowMs() - 20_000;
    private final long born = System.currentTimeMillis();
    private long token;
    private long leaseMs;
    private long nextEnd = 1;
    private long beat;
    private boolean isCut;
    int starts;

    Runner(String id, String zone, String rack, Store store, Recorder record, Work work) throws IOException {
        this.id = id;
        this.zone = zone;
        this.rack = rack;
        this.store = store;
        this.record = record;
        this.work = work;
        server = new ServerSocket();
        server.bind(new InetSocketAddress("127.0.0.1", 0), 256);
        Daemon.start(this::accept);
        Daemon.start(this::beatForever);
        Daemon.start(this::expireForever);
    }

    /** The highest token that it has seen. */
    synchronized long token() {
        return token;
    }

    synchronized int runs() {
        return running.size();
    }

    /** Cuts it off from all machines and from the store. It runs on; what is sent to it meanwhile is lost. */
    synchronized void cut() {
        isCut = true;
        record.line("runner " + id + " is cut off with " + running.size() + " runs");
    }

    synchronized void heal() {
        isCut = false;
        for (Socket socket : sockets) close(socket);
        sockets.clear();
        record.line("runner " + id + " is back");
        notifyAll();
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    private long clockMs() {
        return Clock.nowMs() - clockStartMs;
    }

    private void beatForever() {
        while (true) {
            synchronized (this) {
                if (!isCut) {
                    store.put("servers", id, "{\"service\":\"desk\",\"address\":\"127.0.0.1:" + server.getLocalPort()
                        + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,"
                        + "\"capacity\":{\"cpu\":" + CPU + ",\"memMb\":65536,\"gpu\":0},\"labels\":[\"a\",\"" + rack + "\"],"
                        + "\"clockMs\":" + clockMs() + ",\"born\":" + born + ",\"seq\":" + ++beat + "}");
                }
            }
            Clock.sleep(1_500);
        }
    }

    private void expireForever() {
        while (true) {
            Clock.sleep(2);
            synchronized (this) {
                finishDue();
            }
        }
    }

    /** Ends the runs whose work is done or whose lease has lapsed. */
    private void finishDue() {
        boolean hasLapsed = clockMs() > leaseMs;
        for (Run run : new ArrayList<>(running.values())) {
            if (Clock.nowMs() - run.startedMs >= run.workMs) {
                end(run, "done");
            } else if (hasLapsed) {
                end(run, "lapsed");
            }
        }
    }

    private void end(Run run, String how) {
        if (!running.remove(run.task, run)) return;
        ended.add(new End(nextEnd++, run.task, run.run, how));
        record.line("run " + run.task + " " + run.run + " on " + id + " ended " + how);
        notifyAll();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                synchronized (this) {
                    sockets.add(socket);
                }
                Daemon.start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Http.Reader in = new Http.Reader(socket.getInputStream());
            while (true) {
                Http.Message request = in.read();
                if (request == null) return;
                Http.Reply reply;
                synchronized (this) {
                    if (isCut) {
                        while (isCut) wait();
                        return;
                    }
                    reply = answer(request);
                }
                if (reply == null) return;
                Http.write(socket.getOutputStream(), reply);
            }
        } catch (IOException | InterruptedException e) {
            // The caller has gone.
        } finally {
            synchronized (this) {
                sockets.remove(socket);
            }
        }
    }

    private Http.Reply answer(Http.Message request) throws InterruptedException {
        if (!id.equals(request.header("x-target-instance"))) return new Http.Reply(421, "{\"clockMs\":" + clockMs() + "}");
        Map<String, Object> body = Json.object(request.body);
        finishDue();
        long sent = Json.number(body.get("fencingToken"));
        if (sent < token) return refused("fence");
        token = sent;
        switch (request.path()) {
            case "/-/run-start" -> {
                return start(body);
            }
            case "/-/run-stop" -> {
                return stop((String) body.get("task"), (int) Json.number(body.get("runId")));
            }
            case "/-/hold" -> {
                return hold(body);
            }
            default -> {
                return new Http.Reply(404, "{}");
            }
        }
    }

    private Http.Reply refused(String reason) {
        return new Http.Reply(409, "{\"clockMs\":" + clockMs() + ",\"reason\":\"" + reason + "\"}");
    }

    private Http.Reply accepted() {
        return new Http.Reply(200, "{\"clockMs\":" + clockMs() + "}");
    }

    private void extend(long untilMs) {
        leaseMs = Math.max(leaseMs, Math.min(untilMs, clockMs() + 1_000));
    }

    private Http.Reply start(Map<String, Object> body) {
        String task = (String) body.get("task");
        int run = (int) Json.number(body.get("runId"));
        String spec = (String) body.get("spec");
        Run known = running.get(task);
        if (known != null && known.run == run) return accepted();
        long deadlineMs = Json.number(body.get("deadlineMs"));
        if (deadlineMs < clockMs()) return refused("late");
        extend(deadlineMs);
        if (run <= highest.getOrDefault(task, 0)) return refused("old");
        int cpu = work.cpu(task, spec);
        if (running.values().stream().mapToInt(Run::cpu).sum() + cpu > CPU) return refused("room");
        highest.put(task, run);
        running.put(task, new Run(task, run, spec, Clock.nowMs(), work.ms(task, spec), cpu));
        starts++;
        record.line("run " + task + " " + run + " on " + id + " starts, token " + token);
        return accepted();
    }

    private Http.Reply stop(String task, int run) {
        highest.merge(task, run, Math::max);
        Run known = running.get(task);
        if (known != null && known.run == run) {
            Daemon.start(() -> {
                Clock.sleep(30);
                synchronized (this) {
                    end(known, "stopped");
                }
            });
        }
        return accepted();
    }

    private Http.Reply hold(Map<String, Object> body) throws InterruptedException {
        if (body.get("deadlineMs") != null) extend(Json.number(body.get("deadlineMs")));
        long seen = Json.number(body.get("lastSeen"));
        long untilMs = Clock.nowMs() + Json.number(body.get("waitMs"));
        ended.removeIf(end -> end.number <= seen);
        while (ended.isEmpty() && Clock.nowMs() < untilMs) wait(Math.max(1, untilMs - Clock.nowMs()));
        while (isCut) wait();
        finishDue();
        StringBuilder text = new StringBuilder("{\"clockMs\":" + clockMs() + ",\"born\":" + born + ",\"running\":[");
        String comma = "";
        for (Run run : running.values()) {
            long percent = Math.min(99, (Clock.nowMs() - run.startedMs) * 100 / Math.max(1, run.workMs));
            text.append(comma).append("[\"" + run.task + "\"," + run.run + ",\"\"," + percent + "," + run.cpu + "]");
            comma = ",";
        }
        text.append("],\"ended\":[");
        comma = "";
        for (End end : ended.subList(0, Math.min(500, ended.size()))) {
            text.append(comma).append("[" + end.number + ",\"" + end.task + "\"," + end.run + ",\"" + end.how + "\",\"\"]");
            comma = ",";
        }
        return new Http.Reply(200, text + "]}");
    }
}
