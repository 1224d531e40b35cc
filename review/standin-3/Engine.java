import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * A model engine that may crash: then its listener and all its connections close, as those of a process that ends, and
 * it is back some seconds later at its address as a new boot with a new id.
 */
public class Engine {
    public interface Listener {
        /** A run of [request] has begun at an engine that is not in the prefill stage. */
        void began(Engine engine, String request, String parts);

        void crashed(Engine engine, String request);
    }

    public final String name;
    public final String ip;
    public final String stage;
    public final int port;
    public volatile String id;
    public volatile int boot;
    public volatile boolean isUp;
    /** Whether answers have neither a length nor chunks and end with their connection. */
    public volatile boolean unframed;
    /** The part of a prompt that crashes the engine, or null. */
    public volatile String poison;
    public volatile long backMillis = 2000;
    public volatile int events = 6;
    public volatile long eventMillis = 40;
    private final Listener listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket socket;
    private volatile long bornMillis;
    private final AtomicInteger running = new AtomicInteger();

    public Engine(String name, String ip, String stage, Listener listener) throws Exception {
        this.name = name;
        this.ip = ip;
        this.stage = stage;
        this.listener = listener;
        ServerSocket first = new ServerSocket();
        first.setReuseAddress(true);
        first.bind(new InetSocketAddress(ip, 0), 500);
        port = first.getLocalPort();
        start(first);
    }

    public String address() { return ip + ":" + port; }

    public String listed() {
        return Provider.entry(id, "model", address(), "ljubljana-a", 64, "ready", ",\"stage\":\"" + stage
            + "\",\"born\":" + bornMillis + ",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]");
    }

    private synchronized void start(ServerSocket s) {
        boot++;
        id = "i-" + name + "-" + boot;
        bornMillis = System.currentTimeMillis();
        socket = s;
        isUp = true;
        Service.thread(() -> {
            while (true) {
                Socket c = s.accept();
                open.add(c);
                Service.thread(() -> serve(c));
            }
        });
    }

    public void crash(String request) throws Exception {
        synchronized (this) {
            if (!isUp) return;
            isUp = false;
            socket.close();
            for (Socket c : open) c.close();
            open.clear();
        }
        listener.crashed(this, request);
        Service.thread(() -> {
            Thread.sleep(backMillis);
            ServerSocket s = new ServerSocket();
            s.setReuseAddress(true);
            s.bind(new InetSocketAddress(ip, port), 500);
            start(s);
        });
    }

    private void serve(Socket s) throws Exception {
        try (s) {
            s.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(s.getInputStream());
            while (true) {
                Http.Message m = Http.read(in);
                if (m == null || !m.complete || !answer(s, m)) return;
            }
        } finally {
            open.remove(s);
        }
    }

    private boolean answer(Socket s, Http.Message m) throws Exception {
        String path = m.startLine.split(" ")[1];
        if (path.equals("/health")) return reply(s, "200 OK", "Instance-Id: " + id + "\r\n", "");
        if (path.equals("/report")) {
            return reply(s, "200 OK", "Content-Type: application/json\r\n", "{\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":true,\"sequence\":0,\"waiting\":0,\"running\":"
                + running.get() + ",\"kv_used\":0,\"kv_total\":532232,\"handles\":0,\"born\":" + bornMillis + "}");
        }
        if (path.equals("/order")) return reply(s, "409 Conflict", "", "");
        if (path.startsWith("/kv-handle/")) return reply(s, "200 OK", "", "");
        String request = m.headers.getOrDefault("Request-Id", "");
        String expected = m.headers.get("Expect-Instance");
        String echo = "Request-Id: " + request + "\r\n";
        if (expected != null && !expected.equals(id)) return reply(s, "421 Misdirected Request", echo + "Instance-Id: " + id + "\r\n", "");
        if ("prefill".equals(m.headers.get("Stage"))) {
            Thread.sleep(20);
            return reply(s, "200 OK", echo + "Content-Type: application/json\r\n", "{\"handle\":\"" + Long.toHexString(ThreadLocalRandom.current().nextLong() >>> 16)
                + "\",\"tokens\":100,\"version\":1}");
        }
        String parts = m.headers.getOrDefault("Prompt-Prefix", "");
        listener.began(this, request, parts);
        running.incrementAndGet();
        try {
            return stream(s, echo, request, parts);
        } finally {
            running.decrementAndGet();
        }
    }

    private boolean stream(Socket s, String echo, String request, String parts) throws Exception {
        Thread.sleep(40);
        Service.send(s, "HTTP/1.1 200 OK\r\n" + echo + "Response-Signature: s." + id + "." + request
            + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n" + (unframed ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n"));
        boolean isPoisoned = poison != null && parts.contains(poison);
        for (int i = 1; i <= events; i++) {
            String event = "id: " + i + "\ndata: " + request + " piece " + i + "\n\n";
            if (isPoisoned) event = event.substring(0, event.length() / 2);
            String framed = unframed ? event : Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
            Service.send(s, framed);
            Thread.sleep(eventMillis);
            if (isPoisoned) {
                crash(request);
                return false;
            }
        }
        if (!unframed) Service.send(s, "0\r\n\r\n");
        return !unframed;
    }

    private boolean reply(Socket s, String status, String headers, String body) throws Exception {
        Service.send(s, "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        return true;
    }
}
