import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * Case: a client whose request head is larger than 8 KB, though smaller than the limit in the desired state, is told that
 * its queue does not exist. A later request on the connection gets no answer.
 */
final class LargeHead {
    private LargeHead() {}

    public static void main(String[] arguments) {
        Site.run(() -> play(Path.of(arguments[0])));
    }

    private static void play(Path recordFile) throws Exception {
        int cookieBytes = "0".equals(System.getenv("TROUBLE")) ? 4_000 : 12_000;
        Runner.Work work = new Runner.Work() {
            @Override public long ms(String task, String spec) {
                return 20;
            }

            @Override public int cpu(String task, String spec) {
                return 1_000;
            }
        };
        Site site = new Site(recordFile, 2, work, "hall", "room", "bay", "loft");
        site.start();
        if (!site.awaitService(30_000)) Site.exit(2, "the machines don't serve");
        Clock.sleep(5_000);
        int refused = 0;
        int silent = 0;
        for (Machine machine : site.machines) {
            String body = Client.job("spec", 2, 1_000, 20);
            String plain = Client.head("POST", "/desk/" + site.newId(), body.length());
            String large = plain.replace("Content-Type:", "X-Trace: " + "t".repeat(cookieBytes) + "\r\nContent-Type:");
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(machine.ip, machine.frontend), 1_000);
                socket.setSoTimeout(Client.LIMIT_MS + 1_000);
                Http.Reader in = new Http.Reader(socket.getInputStream());
                for (String head : new String[] {large, Client.head("POST", "/desk/" + site.newId(), body.length())}) {
                    site.record.line("client sends a head of " + head.length() + " bytes to " + machine.name);
                    Http.send(socket.getOutputStream(), head, body.getBytes(StandardCharsets.UTF_8));
                    try {
                        Http.Message answer = in.read();
                        site.record.line("client gets " + (answer == null ? "the end of the connection" : answer.first + " " + answer.headers));
                        if (answer == null) break;
                        if (answer.status() == 404) refused++;
                        if ("close".equals(answer.header("connection"))) break;
                    } catch (SocketTimeoutException e) {
                        site.record.line("client gets no answer");
                        silent++;
                    }
                }
            }
        }
        String text = refused + " requests got 404 though the route is there, " + silent + " got no answer";
        site.record.line(text);
        Site.exit(refused > 0 ? 1 : 0, text);
    }
}
