import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** The part of HTTP/1.1 that the stand-ins need. */
final class Http {
    private Http() {}

    record Reply(int status, String body) {}

    static final class Message {
        String first;
        String body;
        final Map<String, String> headers = new HashMap<>();

        String header(String name) {
            return headers.get(name);
        }

        String path() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    static final class Reader {
        private final InputStream in;

        Reader(InputStream in) {
            this.in = new BufferedInputStream(in);
        }

        /** The next message; null at the end of the stream. */
        Message read() throws IOException {
            String first = line();
            if (first == null) return null;
            Message message = new Message();
            message.first = first;
            for (String line = line(); line != null && !line.isEmpty(); line = line()) {
                int at = line.indexOf(':');
                message.headers.put(line.substring(0, at).toLowerCase(), line.substring(at + 1).trim());
            }
            int length = Integer.parseInt(message.headers.getOrDefault("content-length", "0"));
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) return null;
            message.body = new String(bytes, StandardCharsets.UTF_8);
            return message;
        }

        private String line() throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) return null;
                if (b != '\r') bytes.write(b);
            }
            return bytes.toString(StandardCharsets.UTF_8);
        }
    }

    static void write(OutputStream out, Reply reply) throws IOException {
        byte[] body = reply.body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + reply.status + " -\r\nContent-Type: application/json\r\nContent-Length: " + body.length
            + "\r\n\r\n";
        send(out, head, body);
    }

    static void send(OutputStream out, String head, byte[] body) throws IOException {
        byte[] bytes = head.getBytes(StandardCharsets.UTF_8);
        byte[] all = new byte[bytes.length + body.length];
        System.arraycopy(bytes, 0, all, 0, bytes.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        out.write(all);
        out.flush();
    }
}
