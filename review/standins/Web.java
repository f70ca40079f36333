import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;

/** HTTP server of a stand-in: one handler for all paths; each request has a thread of its own. */
final class Web {
    record Answer(int status, String body) {}

    interface Handler {
        /** Returns null to leave the request without an answer; its connection is then closed. */
        Answer handle(HttpExchange exchange, String body) throws Exception;
    }

    static HttpServer serve(String host, ExecutorService threads, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(host, 0), 256);
        server.setExecutor(threads);
        server.createContext("/", exchange -> {
            try {
                String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                Answer answer = handler.handle(exchange, body);
                if (answer == null) {
                    exchange.close();
                    return;
                }
                byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
                if (bytes.length > 0) exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
                if (bytes.length > 0) exchange.getResponseBody().write(bytes);
                exchange.close();
            } catch (IOException e) {
                exchange.close();
            } catch (Exception e) {
                e.printStackTrace();
                exchange.close();
            }
        });
        server.start();
        return server;
    }
}
