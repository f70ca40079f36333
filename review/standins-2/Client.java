import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;

/** A client of the service: sends one request on a connection of its own and waits for the answer. */
final class Client {
    static final String HOST = "desk.example";
    static final int LIMIT_MS = 1_500;

    private Client() {}

    /** Status of the answer to [head] and [body]; 0 if there is none in time, -1 if the connection ends without one. */
    static int call(Machine machine, String head, String body) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(machine.ip, machine.frontend), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(LIMIT_MS + 100);
            Http.send(socket.getOutputStream(), head, body.getBytes(StandardCharsets.UTF_8));
            Http.Message answer = new Http.Reader(socket.getInputStream()).read();
            return answer == null ? -1 : answer.status();
        } catch (java.net.SocketTimeoutException e) {
            return 0;
        } catch (IOException e) {
            return -1;
        }
    }

    static String job(String spec, int count, int cpu, int estimateMs) {
        return "{\"spec\":" + Json.quote(spec) + ",\"bestEffort\":true,\"steps\":[{\"count\":" + count + ",\"cpu\":" + cpu
            + ",\"memMb\":256,\"estimateMs\":" + estimateMs + "}]}";
    }

    static String head(String method, String path, int length) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nContent-Type: application/json\r\nX-Deadline-Ms: "
            + LIMIT_MS + "\r\nContent-Length: " + length + "\r\n\r\n";
    }

    /** Submits a job and passes its id and the status to [onEnd]. */
    static void submit(Machine machine, String id, String body, Recorder record, BiConsumer<String, Integer> onEnd) {
        Daemon.start(() -> {
            record.line("client sends " + id + " to " + machine.name);
            int status = call(machine, head("POST", "/desk/" + id, body.length()), body);
            record.line("client gets " + status + " for " + id);
            onEnd.accept(id, status);
        });
    }
}
