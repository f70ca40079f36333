import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Proxy before the control port of one instance, through which the other instances reach it. While one end of a
 * connection is cut off, nothing passes on it in either direction; what was sent meanwhile passes afterwards, as after a
 * partition, unless its sender has closed the connection. A connection that is opened meanwhile is closed afterwards.
 *
 * Instances tell each other their addresses in the first frame of a connection, so the proxy translates the address in
 * it to that of the proxy of the sender. Frames are JSON with four bytes of length before them.
 */
final class PeerProxy {
    /** Names of the instances that are cut off from the other instances. */
    static final Set<String> CUT = ConcurrentHashMap.newKeySet();
    private static final Pattern NAME = Pattern.compile("\"instance\":\"([^\"]+)\"");

    private final String name;
    private final InetSocketAddress target;
    private final UnaryOperator<String> translation;

    PeerProxy(String name, String host, int port, int targetPort, UnaryOperator<String> translation) throws IOException {
        this.name = name;
        this.translation = translation;
        target = new InetSocketAddress(host, targetPort);
        ServerSocket server = new ServerSocket(port, 100, InetAddress.getByName(host));
        start(() -> {
            while (true) {
                Socket client = server.accept();
                start(() -> serve(client));
            }
        });
    }

    private interface Action {
        void run() throws IOException;
    }

    private static void start(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (IOException e) {
                // One of the ends has closed the connection.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket client) throws IOException {
        try (client) {
            client.setTcpNoDelay(true);
            DataInputStream in = inputOf(client);
            String hello = frame(in);
            Matcher matcher = NAME.matcher(hello);
            String sender = matcher.find() ? matcher.group(1) : "";
            // What opens a connection is lost during a cut.
            if (awaitPath(sender)) return;
            try (Socket server = new Socket()) {
                server.connect(target, 1_000);
                server.setTcpNoDelay(true);
                start(() -> {
                    try (client; server) {
                        pass(server, inputOf(server), client, sender);
                    }
                });
                send(server, hello);
                pass(client, in, server, sender);
            }
        }
    }

    private void pass(Socket from, DataInputStream in, Socket to, String sender) throws IOException {
        while (true) {
            String frame = frame(in);
            // What was held up is lost if its sender has closed the connection.
            if (awaitPath(sender) && isClosed(from, in)) return;
            send(to, frame);
        }
    }

    /** Waits for the end of a cut. Returns whether there was one. */
    private boolean awaitPath(String sender) {
        boolean wasCut = false;
        while (CUT.contains(sender) || CUT.contains(name)) {
            wasCut = true;
            Fleet.sleep(5);
        }
        return wasCut;
    }

    private static DataInputStream inputOf(Socket socket) throws IOException {
        return new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    }

    private static boolean isClosed(Socket socket, DataInputStream in) {
        try {
            socket.setSoTimeout(1);
            in.mark(1);
            boolean isClosed = in.read() < 0;
            if (!isClosed) in.reset();
            socket.setSoTimeout(0);
            return isClosed;
        } catch (SocketTimeoutException e) {
            return !canRead(socket);
        } catch (IOException e) {
            return true;
        }
    }

    private static boolean canRead(Socket socket) {
        try {
            socket.setSoTimeout(0);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static String frame(DataInputStream in) throws IOException {
        byte[] bytes = new byte[in.readInt()];
        in.readFully(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private void send(Socket to, String frame) throws IOException {
        byte[] bytes = translation.apply(frame).getBytes(StandardCharsets.UTF_8);
        DataOutputStream out = new DataOutputStream(to.getOutputStream());
        byte[] message = new byte[bytes.length + 4];
        for (int i = 0; i < 4; i++) message[i] = (byte) (bytes.length >>> (24 - 8 * i));
        System.arraycopy(bytes, 0, message, 4, bytes.length);
        out.write(message);
        out.flush();
    }
}
