import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The sockets of an engine or service at one address. What it answers is up to the subclass. */
abstract class Engine implements AutoCloseable {
    final String ip;
    final int port;
    volatile String id;
    private ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final ThreadLocal<Socket> current = new ThreadLocal<>();

    Engine(String id, String ip) throws IOException {
        this.id = id;
        this.ip = ip;
        ServerSocket first = new ServerSocket();
        first.setReuseAddress(true);
        first.bind(new java.net.InetSocketAddress(InetAddress.getByName(ip), 0), 200);
        port = first.getLocalPort();
        accept(first);
    }

    String address() {
        return ip + ":" + port;
    }

    /** Answers a request; returns whether the connection is kept. */
    abstract boolean answer(Message request, OutputStream out) throws Exception;

    private synchronized void accept(ServerSocket listening) {
        server = listening;
        InstanceList.daemon(() -> {
            while (true) {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                InstanceList.daemon(() -> serve(socket));
            }
        });
    }

    private void serve(Socket socket) throws Exception {
        current.set(socket);
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Message request = Message.readRequest(in);
                if (request == null || !answer(request, out)) return;
            }
        } finally {
            sockets.remove(socket);
        }
    }

    /** Waits, and returns whether the caller has closed the channel of the request that this thread answers meanwhile. */
    boolean isClosedWithin(long millis) throws IOException {
        Socket socket = current.get();
        long end = Fleet.nowMillis() + millis;
        while (Fleet.nowMillis() < end) {
            socket.setSoTimeout((int) Math.max(1, end - Fleet.nowMillis()));
            try {
                // No caller sends a request ahead of an answer, so the only thing to be read is the end.
                if (socket.getInputStream().read() < 0) return true;
            } catch (java.net.SocketTimeoutException stillOpen) {
                break;
            }
        }
        socket.setSoTimeout(0);
        return false;
    }

    /** Resets the channel of the request that this thread answers. */
    void resetCurrent() throws IOException {
        current.get().setSoLinger(true, 0);
        current.get().close();
    }

    /** Ends the process of the engine: nothing listens any more, and the system closes all its connections. */
    synchronized void crash() throws IOException {
        server.close();
        for (Socket socket : sockets) socket.close();
        sockets.clear();
    }

    /** Starts the engine again at its address, as {@code newId}. */
    synchronized void restart(String newId) throws IOException {
        ServerSocket next = new ServerSocket();
        next.setReuseAddress(true);
        next.bind(new java.net.InetSocketAddress(InetAddress.getByName(ip), port), 200);
        id = newId;
        accept(next);
    }

    @Override
    public void close() throws IOException {
        crash();
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Writes a whole answer with a length. */
    static void respond(OutputStream out, int status, String fields, String body) throws IOException {
        write(out, "HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }
}
