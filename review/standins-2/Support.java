import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Steady clock of the stand-ins, in milliseconds. */
final class Clock {
    private static final long START = System.nanoTime();

    private Clock() {}

    static long nowMs() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void sleep(long ms) {
        if (ms <= 0) return;
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}

final class Daemon {
    private Daemon() {}

    static Thread thread(Runnable action) {
        Thread thread = new Thread(null, action, "standin", 256 * 1024);
        thread.setDaemon(true);
        return thread;
    }

    static void start(Runnable action) {
        thread(action).start();
    }
}

/** What was sent, answered and run, one line each. */
final class Recorder {
    private final PrintWriter out;

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String text) {
        out.println(String.format("%8.3f %s", Clock.nowMs() / 1000.0, text));
    }

    synchronized void close() {
        out.close();
    }
}

/** Small JSON reader: objects are maps, lists are lists, numbers are doubles. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> objects(Object list) {
        return list == null ? List.of() : (List<Map<String, Object>>) list;
    }

    static long number(Object value) {
        return value == null ? 0 : ((Double) value).longValue();
    }

    static String quote(String text) {
        return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + "\"";
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) at++;
        return text.charAt(at);
    }

    private Object value() {
        switch (next()) {
            case '{' -> {
                Map<String, Object> map = new LinkedHashMap<>();
                at++;
                while (next() != '}') {
                    if (text.charAt(at) == ',') {
                        at++;
                        continue;
                    }
                    String name = string();
                    next();
                    at++;
                    map.put(name, value());
                }
                at++;
                return map;
            }
            case '[' -> {
                List<Object> list = new ArrayList<>();
                at++;
                while (next() != ']') {
                    if (text.charAt(at) == ',') {
                        at++;
                        continue;
                    }
                    list.add(value());
                }
                at++;
                return list;
            }
            case '"' -> {
                return string();
            }
            default -> {
                int from = at;
                while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
                String word = text.substring(from, at);
                return switch (word) {
                    case "true" -> Boolean.TRUE;
                    case "false" -> Boolean.FALSE;
                    case "null" -> null;
                    default -> Double.valueOf(word);
                };
            }
        }
    }

    private String string() {
        next();
        StringBuilder result = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            char c = text.charAt(at);
            if (c != '\\') {
                result.append(c);
                continue;
            }
            char escaped = text.charAt(++at);
            if (escaped == 'u') {
                result.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                at += 4;
            } else {
                int index = "nrtbf".indexOf(escaped);
                result.append(index < 0 ? escaped : "\n\r\t\b\f".charAt(index));
            }
        }
        at++;
        return result.toString();
    }
}
