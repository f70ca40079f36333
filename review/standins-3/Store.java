import com.sun.net.httpserver.HttpExchange;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/** The platform's metadata store: rows with versions, conditional transactions and a change feed. */
final class Store implements Web.Handler {
    private static final class Row {
        String table;
        String key;
        String value;
        long version;
        boolean deleted;
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final long startNs = System.nanoTime();
    private long version = 1;

    /** Translates the address in the row of an instance to that of the proxy before it; identity without proxies. */
    UnaryOperator<String> memberTranslation = text -> text;

    /** Writes a row as the operator and the runners do; a null text removes it. Returns the version. */
    synchronized long put(String table, String key, String text) {
        version++;
        set(table, key, text == null ? null : encode(text));
        notifyAll();
        return version;
    }

    synchronized String get(String table, String key) {
        Row row = rows.get(table + "\u0000" + key);
        return row == null || row.deleted ? null : new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private void set(String table, String key, String value) {
        Row row = new Row();
        row.table = table;
        row.key = key;
        row.value = value == null ? "" : value;
        row.version = version;
        row.deleted = value == null;
        rows.put(table + "\u0000" + key, row);
    }

    @Override
    public Web.Answer handle(HttpExchange exchange, String body) throws Exception {
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        switch (exchange.getRequestURI().getPath()) {
            case "/-/rows-tx": return transact(Json.object(body));
            case "/-/rows-get": return read(query.get("table"), query.getOrDefault("from", ""));
            case "/-/rows-feed":
                return feed(query.get("table"), Long.parseLong(query.get("after")), Long.parseLong(query.get("waitMs")));
            default: return new Web.Answer(404, "");
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw == null) return query;
        for (String pair : raw.split("&")) {
            int at = pair.indexOf('=');
            if (at > 0) query.put(pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    @SuppressWarnings("unchecked")
    private synchronized Web.Answer transact(Map<String, Object> call) {
        List<Row> current = new ArrayList<>();
        boolean holds = true;
        for (Object item : (List<Object>) call.getOrDefault("expectedRev", List.of())) {
            Map<String, Object> expected = (Map<String, Object>) item;
            Row row = rows.get(expected.get("table") + "\u0000" + expected.get("key"));
            boolean exists = row != null && !row.deleted;
            if (exists) current.add(row);
            if ((exists ? row.version : 0) != Json.number(expected, "rowVersion", 0)) holds = false;
        }
        if (!holds) return new Web.Answer(412, reply(current));
        version++;
        for (Object item : (List<Object>) call.getOrDefault("writes", List.of())) {
            Map<String, Object> write = (Map<String, Object>) item;
            String table = (String) write.get("table");
            if (table.equals("op") || table.equals("servers")) return new Web.Answer(403, "{}");
            String value = (String) write.get("value");
            if (table.equals("members")) {
                String text = new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
                value = encode(memberTranslation.apply(text));
            }
            set(table, (String) write.get("key"), value);
        }
        for (Object item : (List<Object>) call.getOrDefault("remove", List.of())) {
            Map<String, Object> removed = (Map<String, Object>) item;
            set((String) removed.get("table"), (String) removed.get("key"), null);
        }
        notifyAll();
        return new Web.Answer(200, reply(List.of()));
    }

    private synchronized Web.Answer read(String table, String from) {
        List<Row> found = new ArrayList<>();
        for (Row row : rows.values()) {
            if (row.table.equals(table) && !row.deleted && row.key.compareTo(from) >= 0) found.add(row);
        }
        return new Web.Answer(200, reply(found));
    }

    private synchronized Web.Answer feed(String table, long after, long waitMs) throws InterruptedException {
        long untilNs = System.nanoTime() + waitMs * 1_000_000;
        while (true) {
            List<Row> found = new ArrayList<>();
            for (Row row : rows.values()) if (row.table.equals(table) && row.version > after) found.add(row);
            long leftMs = (untilNs - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || leftMs <= 0) {
                found.sort((a, b) -> Long.compare(a.version, b.version));
                return new Web.Answer(200, reply(found));
            }
            wait(leftMs);
        }
    }

    private String reply(List<Row> found) {
        List<Object> list = new ArrayList<>();
        for (Row row : found) {
            Map<String, Object> map = Json.map(
                "table", row.table, "part", "", "key", row.key, "value", row.value, "rowVersion", row.version);
            if (row.deleted) map.put("deleted", true);
            list.add(map);
        }
        long nowMs = (System.nanoTime() - startNs) / 1_000_000;
        return Json.text(Json.map("rows", list, "hasMore", false, "rowVersion", version, "nowMs", nowMs));
    }
}
