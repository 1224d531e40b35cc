import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** One server of a service: a thread a connection, one request at a time on each. */
public class Service {
    public final String id;
    public final String name;
    public final String ip;
    public final ServerSocket socket;
    public final Set<Socket> open = ConcurrentHashMap.newKeySet();
    /** The requests that it has run, by id, in order. */
    public final List<String> ran = Collections.synchronizedList(new ArrayList<>());
    public volatile long workMillis = 20;
    public volatile int responseBytes = 800;

    public Service(String id, String name, String ip) throws Exception {
        this.id = id;
        this.name = name;
        this.ip = ip;
        socket = new ServerSocket();
        socket.bind(new InetSocketAddress(ip, 0), 500);
        thread(() -> {
            while (true) {
                Socket s = socket.accept();
                open.add(s);
                thread(() -> serve(s));
            }
        });
    }

    public interface Body { void run() throws Exception; }

    public static Thread thread(Body body) {
        Thread t = new Thread(null, () -> {
            try {
                body.run();
            } catch (Exception e) {
                // The connection or the case has ended.
            }
        }, "standin", 256 * 1024);
        t.setDaemon(true);
        t.start();
        return t;
    }

    public String address() { return ip + ":" + socket.getLocalPort(); }

    private void serve(Socket s) throws Exception {
        try (s) {
            s.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(s.getInputStream());
            while (true) {
                Http.Message m = Http.read(in);
                if (m == null || !m.complete) return;
                if (!answer(s, m)) return;
            }
        } finally {
            open.remove(s);
        }
    }

    /** Answers [m], and returns whether the connection is kept. */
    protected boolean answer(Socket s, Http.Message m) throws Exception {
        if (m.startLine.startsWith("GET /health ")) {
            send(s, "HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        String expected = m.headers.get("Expect-Instance");
        String request = m.headers.getOrDefault("Request-Id", "");
        if (expected != null && !expected.equals(id)) {
            send(s, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + request + "\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        return run(s, m, request);
    }

    /** Runs a request and answers it. */
    protected boolean run(Socket s, Http.Message m, String request) throws Exception {
        ran.add(request);
        Thread.sleep(workMillis);
        byte[] body = new byte[responseBytes];
        Arrays.fill(body, (byte) 'x');
        send(s, "HTTP/1.1 200 OK\r\nRequest-Id: " + request + "\r\nInstance-Id: " + id + "\r\nResponse-Signature: s." + id
            + "\r\nContent-Length: " + body.length + "\r\n\r\n");
        s.getOutputStream().write(body);
        return true;
    }

    public static void send(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes("ISO-8859-1"));
    }
}
