import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;

/** HTTP/1.1 server and client of the stand-ins. */
final class Web {
    interface Handler {
        /** Handles a request; a null answer closes the connection without one. */
        Answer handle(HttpExchange exchange, String body) throws Exception;
    }

    static final class Answer {
        /** 0 if there was no answer. */
        final int status;
        final String body;

        Answer(int status, String body) {
            this.status = status;
            this.body = body;
        }

        @Override
        public String toString() {
            return status == 0 ? "no answer (" + body + ")" : status + " " + body;
        }
    }

    private static final Random RANDOM = new Random();
    private static final Set<String> GIVEN = new HashSet<>();

    private Web() {}

    /** A port of [host] that is free, is not given twice, and is not among those that the system gives to clients. */
    static synchronized int freePort(String host) throws IOException {
        while (true) {
            int port = 20_000 + RANDOM.nextInt(10_000);
            if (!GIVEN.add(host + ":" + port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Another process uses it.
            }
        }
    }

    static HttpServer serve(String host, int port, ExecutorService executor, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 100);
        server.setExecutor(executor);
        server.createContext("/", exchange -> {
            try (exchange) {
                String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                Answer answer = handler.handle(exchange, body);
                if (answer == null) return;
                byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(answer.status, bytes.length == 0 ? -1 : bytes.length);
                if (bytes.length > 0) exchange.getResponseBody().write(bytes);
            } catch (IOException e) {
                // The caller has closed the connection.
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
        server.start();
        return server;
    }

    /** Sends one request on a connection of its own. */
    static Answer call(String address, String method, String path, String host, String body, long deadlineMs, long waitMs) {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) waitMs);
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n"
                + (deadlineMs > 0 ? "X-Deadline-Ms: " + deadlineMs + "\r\n" : "")
                + "Content-Type: application/json\r\nContent-Length: " + content.length + "\r\n\r\n";
            OutputStream out = socket.getOutputStream();
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(head.getBytes(StandardCharsets.UTF_8));
            request.write(content);
            out.write(request.toByteArray());
            out.flush();
            return read(socket.getInputStream());
        } catch (IOException e) {
            return new Answer(0, e.toString());
        }
    }

    private static Answer read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) throw new IOException("the connection was closed");
            head.append((char) next);
        }
        int status = Integer.parseInt(head.substring(9, 12));
        int length = 0;
        for (String line : head.toString().split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) throw new IOException("the connection was closed within the answer");
        return new Answer(status, new String(body, StandardCharsets.UTF_8));
    }
}
