import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, numbers are Long or Double. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** The number under [key], or [otherwise] if there is none. */
    static long number(Map<String, Object> object, String key, long otherwise) {
        return object.get(key) instanceof Number n ? n.longValue() : otherwise;
    }

    private char peek() {
        while (Character.isWhitespace(text.charAt(at))) at++;
        return text.charAt(at);
    }

    private Object value() {
        char c = peek();
        if (c == '{') return members();
        if (c == '[') return elements();
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \n\t\r".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        if (word.equals("null")) return null;
        if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
        return word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
    }

    private Map<String, Object> members() {
        Map<String, Object> result = new LinkedHashMap<>();
        at++;
        while (peek() != '}') {
            String key = string();
            peek();
            at++;
            result.put(key, value());
            if (peek() == ',') at++;
        }
        at++;
        return result;
    }

    private List<Object> elements() {
        List<Object> result = new ArrayList<>();
        at++;
        while (peek() != ']') {
            result.add(value());
            if (peek() == ',') at++;
        }
        at++;
        return result;
    }

    private String string() {
        peek();
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                result.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> result.append('\n');
                case 't' -> result.append('\t');
                case 'r' -> result.append('\r');
                case 'b' -> result.append('\b');
                case 'f' -> result.append('\f');
                case 'u' -> {
                    result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> result.append(escaped);
            }
        }
        at++;
        return result.toString();
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            StringBuilder result = new StringBuilder("{");
            map.forEach((k, v) -> result.append(result.length() > 1 ? "," : "").append(write(k)).append(':').append(write(v)));
            return result.append('}').toString();
        }
        if (value instanceof List<?> list) {
            StringBuilder result = new StringBuilder("[");
            list.forEach(v -> result.append(result.length() > 1 ? "," : "").append(write(v)));
            return result.append(']').toString();
        }
        if (value instanceof String s) {
            return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n").replace("\u0000", "\\u0000") + '"';
        }
        return String.valueOf(value);
    }
}
