import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: objects are maps, arrays are lists, numbers are Long or Double. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json reader = new Json(text);
        Object value = reader.value();
        reader.space();
        if (reader.at != text.length()) throw new IllegalArgumentException("text after the value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static long number(Map<String, Object> map, String key, long otherwise) {
        Object value = map.get(key);
        return value instanceof Number ? ((Number) value).longValue() : otherwise;
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    private char next() {
        space();
        return text.charAt(at);
    }

    private void expect(char character) {
        if (next() != character) throw new IllegalArgumentException("expected " + character + " at " + at);
        at++;
    }

    private Object value() {
        switch (next()) {
            case '{': return map();
            case '[': return list();
            case '"': return string();
            case 't': at += 4; return true;
            case 'f': at += 5; return false;
            case 'n': at += 4; return null;
            default: return number();
        }
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        expect('{');
        while (next() != '}') {
            if (!map.isEmpty()) expect(',');
            space();
            String key = string();
            expect(':');
            map.put(key, value());
        }
        at++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        expect('[');
        while (next() != ']') {
            if (!list.isEmpty()) expect(',');
            list.add(value());
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        expect('"');
        while (text.charAt(at) != '"') {
            char character = text.charAt(at++);
            if (character != '\\') {
                out.append(character);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n': out.append('\n'); break;
                case 't': out.append('\t'); break;
                case 'r': out.append('\r'); break;
                case 'b': out.append('\b'); break;
                case 'f': out.append('\f'); break;
                case 'u': out.append((char) Integer.parseInt(text.substring(at, at += 4), 16)); break;
                default: out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }

    private Object number() {
        int from = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) at++;
        String number = text.substring(from, at);
        if (number.matches("-?[0-9]+")) return Long.parseLong(number);
        return Double.parseDouble(number);
    }

    static String text(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                out.append(separator);
                write(entry.getKey().toString(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List) {
            out.append('[');
            String separator = "";
            for (Object item : (List<?>) value) {
                out.append(separator);
                write(item, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String) {
            out.append('"');
            for (char character : ((String) value).toCharArray()) {
                if (character == '"' || character == '\\') out.append('\\').append(character);
                else if (character < ' ') out.append(String.format("\\u%04x", (int) character));
                else out.append(character);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }
}
