import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.nio.charset.StandardCharsets;
import java.net.URLDecoder;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;

/** Stand-in for the platform's table store: rows with versions, conditional transactions, reads and a change feed. */
final class Store {
    private record Row(String table, String part, String key, String value, long version, boolean deleted) {}

    private static final int CALL_MS = 4;

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private long version = 0;
    final HttpServer server;

    Store(String host, ExecutorService threads) throws Exception {
        server = Web.serve(host, threads, this::handle);
    }

    String address() {
        return server.getAddress().getHostString() + ":" + server.getAddress().getPort();
    }

    private static String id(String table, String part, String key) {
        return table + "\u0001" + part + "\u0001" + key;
    }

    /** Writes a row as the operator or a runner does. */
    synchronized void put(String table, String key, String text) {
        version++;
        String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        rows.put(id(table, "", key), new Row(table, "", key, value, version, false));
        notifyAll();
    }

    synchronized String get(String table, String key) {
        Row row = rows.get(id(table, "", key));
        return row == null || row.deleted ? null : new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
    }

    private Web.Answer handle(HttpExchange exchange, String body) throws Exception {
        Thread.sleep(CALL_MS);
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        return switch (path) {
            case "/-/rows-tx" -> transaction(Json.object(body));
            case "/-/rows-get" -> read(query);
            case "/-/rows-feed" -> feed(query);
            default -> new Web.Answer(404, "");
        };
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> result = new HashMap<>();
        if (raw == null) return result;
        for (String pair : raw.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) result.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return result;
    }

    private Map<String, Object> json(Row row) {
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("table", row.table);
        result.put("part", row.part);
        result.put("key", row.key);
        result.put("value", row.value);
        result.put("rowVersion", row.version);
        if (row.deleted) result.put("deleted", true);
        return result;
    }

    private Web.Answer answer(int status, List<Object> found) {
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("rows", found);
        result.put("hasMore", false);
        result.put("rowVersion", version);
        result.put("nowMs", System.nanoTime() / 1_000_000);
        return new Web.Answer(status, Json.write(result));
    }

    @SuppressWarnings("unchecked")
    private synchronized Web.Answer transaction(Map<String, Object> call) {
        List<Object> expected = (List<Object>) call.getOrDefault("expectedRev", List.of());
        boolean holds = true;
        List<Object> current = new ArrayList<>();
        for (Object item : expected) {
            Map<String, Object> row = (Map<String, Object>) item;
            Row found = rows.get(id((String) row.get("table"), (String) row.get("part"), (String) row.get("key")));
            boolean exists = found != null && !found.deleted;
            if (exists) current.add(json(found));
            if ((exists ? found.version : 0) != Json.number(row, "rowVersion", 0)) holds = false;
        }
        if (!holds) return answer(412, current);
        version++;
        for (Object item : (List<Object>) call.getOrDefault("writes", List.of())) {
            Map<String, Object> row = (Map<String, Object>) item;
            String table = (String) row.get("table"), part = (String) row.get("part"), key = (String) row.get("key");
            if (table.equals("op") || table.equals("servers")) return new Web.Answer(403, "");
            rows.put(id(table, part, key), new Row(table, part, key, (String) row.get("value"), version, false));
        }
        notifyAll();
        return answer(200, List.of());
    }

    private synchronized Web.Answer read(Map<String, String> query) {
        List<Object> found = new ArrayList<>();
        for (Row row : rows.values()) {
            boolean isIn = row.table.equals(query.get("table")) && row.part.equals(query.getOrDefault("part", ""));
            if (isIn && !row.deleted && row.key.compareTo(query.getOrDefault("from", "")) >= 0) found.add(json(row));
        }
        return answer(200, found);
    }

    private synchronized Web.Answer feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long untilMs = System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("waitMs", "0"));
        while (true) {
            List<Row> changed = new ArrayList<>();
            for (Row row : rows.values()) {
                if (row.table.equals(query.get("table")) && row.version > after) changed.add(row);
            }
            changed.sort((a, b) -> Long.compare(a.version, b.version));
            long leftMs = untilMs - System.nanoTime() / 1_000_000;
            if (!changed.isEmpty() || leftMs <= 0) {
                List<Object> found = new ArrayList<>();
                changed.forEach(row -> found.add(json(row)));
                return answer(200, found);
            }
            wait(leftMs);
        }
    }
}
