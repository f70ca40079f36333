import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in for the platform's store: versioned rows, conditional transactions and a change feed. */
final class Store {
    private record Row(String table, String part, String key, String value, long version, boolean deleted) {
        String json() {
            return "{\"table\":" + Json.quote(table) + ",\"part\":" + Json.quote(part) + ",\"key\":" + Json.quote(key)
                + ",\"value\":\"" + value + "\",\"rowVersion\":" + version + (deleted ? ",\"deleted\":true}" : "}");
        }
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final HttpServer server;
    private long version;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 512);
        server.setExecutor(Executors.newCachedThreadPool(Daemon::thread));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes a row as the operator or a runner does; a null text removes it. */
    synchronized void put(String table, String key, String text) {
        String value = Base64.getEncoder().encodeToString((text == null ? "" : text).getBytes(StandardCharsets.UTF_8));
        rows.put(id(table, "", key), new Row(table, "", key, value, ++version, text == null));
        notifyAll();
    }

    private static String id(String table, String part, String key) {
        return table + "\0" + part + "\0" + key;
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            int at = pair.indexOf('=');
            query.put(pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
        }
        switch (exchange.getRequestURI().getPath()) {
            case "/-/rows-tx" -> transact(exchange, Json.object(body));
            case "/-/rows-get" -> get(exchange, query);
            case "/-/rows-feed" -> feed(exchange, query);
            default -> reply(exchange, 404, "{}");
        }
    }

    private void transact(HttpExchange exchange, Map<String, Object> body) throws IOException {
        String text;
        int status = 200;
        synchronized (this) {
            List<Row> conflicting = new ArrayList<>();
            boolean holds = true;
            for (Map<String, Object> expected : Json.objects(body.get("expectedRev"))) {
                Row row = rows.get(id(expected));
                boolean exists = row != null && !row.deleted;
                if (exists) conflicting.add(row);
                holds &= (exists ? row.version : 0) == Json.number(expected.get("rowVersion"));
            }
            if (holds) {
                version++;
                for (Map<String, Object> w : Json.objects(body.get("writes"))) {
                    rows.put(id(w), new Row(text(w, "table"), text(w, "part"), text(w, "key"), text(w, "value"), version, false));
                }
                for (Map<String, Object> r : Json.objects(body.get("remove"))) {
                    rows.put(id(r), new Row(text(r, "table"), text(r, "part"), text(r, "key"), "", version, true));
                }
                notifyAll();
                text = answer(List.of());
            } else {
                status = 412;
                text = answer(conflicting);
            }
        }
        reply(exchange, status, text);
    }

    private static String id(Map<String, Object> row) {
        return id(text(row, "table"), text(row, "part"), text(row, "key"));
    }

    private static String text(Map<String, Object> row, String name) {
        Object value = row.get(name);
        return value == null ? "" : (String) value;
    }

    private void get(HttpExchange exchange, Map<String, String> query) throws IOException {
        String text;
        synchronized (this) {
            List<Row> found = new ArrayList<>();
            String from = query.getOrDefault("from", "");
            for (Row row : rows.values()) {
                boolean isIn = row.table.equals(query.get("table")) && row.part.equals(query.getOrDefault("part", ""));
                if (isIn && !row.deleted && row.key.compareTo(from) >= 0) found.add(row);
            }
            text = answer(found);
        }
        reply(exchange, 200, text);
    }

    private void feed(HttpExchange exchange, Map<String, String> query) throws IOException {
        long after = Long.parseLong(query.get("after"));
        long untilMs = Clock.nowMs() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        String text;
        synchronized (this) {
            while (true) {
                List<Row> changed = new ArrayList<>();
                for (Row row : rows.values()) {
                    if (row.table.equals(query.get("table")) && row.version > after) changed.add(row);
                }
                changed.sort((a, b) -> Long.compare(a.version, b.version));
                long leftMs = untilMs - Clock.nowMs();
                if (!changed.isEmpty() || leftMs <= 0) {
                    text = answer(changed);
                    break;
                }
                try {
                    wait(leftMs);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
        reply(exchange, 200, text);
    }

    private String answer(List<Row> found) {
        StringBuilder text = new StringBuilder("{\"rows\":[");
        for (int i = 0; i < found.size(); i++) text.append(i == 0 ? "" : ",").append(found.get(i).json());
        return text + "],\"hasMore\":false,\"rowVersion\":" + version + ",\"nowMs\":" + Clock.nowMs() + "}";
    }

    private static void reply(HttpExchange exchange, int status, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        try (exchange) {
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }
}
