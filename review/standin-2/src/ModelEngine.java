import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A model engine with prefill and decode. Its streams are events with increasing ids. They come with neither a length nor
 * chunks and end with their channel, or in chunks if so asked. A prompt with the deadly part crashes an engine that begins
 * to write an answer on it; it is back after some seconds, as a new boot. An engine may also send bytes without end that are
 * no answer.
 */
final class ModelEngine extends Engine {
    static final int SLOTS = 64;
    private static final int EVENTS = 8;
    private static final long BACK_MILLIS = 2_000;
    private static final Map<String, String> HANDLES = new ConcurrentHashMap<>();
    private static final AtomicInteger NEXT = new AtomicInteger(0x3fa09c4);

    /** Told of what happens at an engine. */
    interface Listener {
        /** Does nothing. */
        Listener NONE = new Listener() {
            @Override
            public void arrived(ModelEngine engine, Message request) {
            }

            @Override
            public void crashed(ModelEngine engine, Message request) {
            }
        };

        /** A request arrived that is no prefill and is meant for this engine. */
        void arrived(ModelEngine engine, Message request);

        void crashed(ModelEngine engine, Message request);
    }

    final Listener listener;
    final String deadlyPart;
    final boolean isChunked;
    volatile String stage;
    volatile boolean isUp = true;
    /** How many bytes a second of what is no answer the engine sends, without end; 0 if it is sound. */
    volatile int endlessBytesPerSecond;
    private volatile long busyUntil;
    private volatile int sequence;
    private volatile long highestFence;
    private final AtomicInteger running = new AtomicInteger();

    ModelEngine(String id, String ip, String stage, String deadlyPart, boolean isChunked, Listener listener) throws IOException {
        super(id, ip);
        this.stage = stage;
        this.deadlyPart = deadlyPart;
        this.isChunked = isChunked;
        this.listener = listener;
    }

    @Override
    boolean answer(Message request, OutputStream out) throws Exception {
        String load = "Server-Load: " + running.get() + ",0," + SLOTS + "\r\n";
        if (request.target().equals("/report")) return report(out);
        if (request.target().startsWith("/kv-handle/")) {
            HANDLES.remove(address() + request.target().substring("/kv-handle".length()));
            respond(out, 200, load, "");
            return true;
        }
        String expected = request.field("Expect-Instance");
        String echo = request.field("Request-Id") == null ? "" : "Request-Id: " + request.field("Request-Id") + "\r\n";
        if (expected != null && !expected.equals(id)) {
            respond(out, 421, echo + load, "");
            return true;
        }
        if (request.target().equals("/order")) return order(request, out);
        if (request.target().equals("/health")) {
            respond(out, 200, "Instance-Id: " + id + "\r\n" + load, "");
            return true;
        }
        boolean isPrefill = "prefill".equals(request.field("Stage"));
        if (isPrefill != stage.equals("prefill")) {
            respond(out, 421, echo + load, "");
            return true;
        }
        if (Fleet.nowMillis() < busyUntil) {
            respond(out, 503, echo + load + "Not-Executed: 1\r\n", "");
            return true;
        }
        return isPrefill ? prefill(request, out, echo + load) : generate(request, out, echo, load);
    }

    private boolean report(OutputStream out) throws IOException {
        respond(out, 200, "Content-Type: application/json\r\n", "{\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,"
            + "\"adapters\":[]}],\"busy\":" + (Fleet.nowMillis() < busyUntil) + ",\"sequence\":" + sequence + ",\"waiting\":0,"
            + "\"running\":" + running.get() + ",\"kv_used\":1000,\"kv_total\":500000,\"handles\":0,\"born\":1765000000000}");
        return true;
    }

    private boolean order(Message request, OutputStream out) throws IOException {
        String body = new String(request.body);
        long fence = Long.parseLong(body.replaceAll(".*\"fence\":(\\d+).*", "$1"));
        if (fence < highestFence) {
            respond(out, 412, "", "");
            return true;
        }
        highestFence = fence;
        if (!body.contains("\"expected\":" + sequence) || Fleet.nowMillis() < busyUntil) {
            respond(out, 409, "", "");
            return true;
        }
        sequence++;
        stage = body.contains("\"stage\":\"prefill\"") ? "prefill" : "decode";
        busyUntil = Fleet.nowMillis() + 3_000;
        respond(out, 202, "", "");
        return true;
    }

    private boolean prefill(Message request, OutputStream out, String fields) throws Exception {
        Thread.sleep(20);
        String handle = Integer.toHexString(NEXT.incrementAndGet()) + "b7d5";
        HANDLES.put(address() + "/" + handle, "" + request.field("Request-Id"));
        String tokens = request.field("Token-Count").split(",")[0];
        respond(out, 200, fields + "Content-Type: application/json\r\n",
            "{\"handle\":\"" + handle + "\",\"tokens\":" + tokens + ",\"version\":1}");
        return true;
    }

    private boolean generate(Message request, OutputStream out, String echo, String load) throws Exception {
        listener.arrived(this, request);
        String source = request.field("Kv-Source");
        if (source != null && HANDLES.remove(source) == null) {
            respond(out, 503, echo + load + "Not-Executed: 1\r\n", "");
            return true;
        }
        if (endlessBytesPerSecond > 0) {
            endless(out, echo);
            return false;
        }
        running.incrementAndGet();
        try {
            Thread.sleep(30);
            write(out, "HTTP/1.1 200 OK\r\n" + echo + load + "Response-Signature: 3e1b.07." + id
                + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                + (isChunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n"));
            boolean isDeadly = deadlyPart != null && request.field("Prompt-Prefix").contains(deadlyPart);
            for (int event = 1; event <= EVENTS; event++) {
                String text = "id: " + event + "\ndata: token " + event + " of " + request.field("Request-Id") + "\n\n";
                if (isDeadly) {
                    part(out, text.substring(0, text.length() / 2));
                    Thread.sleep(20);
                    crashWhileAnswering(request);
                    return false;
                }
                part(out, text);
                Thread.sleep(20);
            }
            if (isChunked) write(out, "0\r\n\r\n");
            return isChunked;
        } finally {
            running.decrementAndGet();
        }
    }

    /** Sends bytes that are no answer until the caller closes. */
    private void endless(OutputStream out, String echo) throws Exception {
        write(out, "HTTP/1.1 200 OK\r\n" + echo + "Content-Type: text/event-stream\r\n\r\n");
        byte[] bytes = new byte[endlessBytesPerSecond / 20];
        java.util.Arrays.fill(bytes, (byte) 'x');
        while (true) {
            out.write(bytes);
            Thread.sleep(50);
        }
    }

    private void part(OutputStream out, String text) throws IOException {
        write(out, isChunked ? Integer.toHexString(text.length()) + "\r\n" + text + "\r\n" : text);
    }

    private synchronized void crashWhileAnswering(Message request) throws Exception {
        if (!isUp) return;
        isUp = false;
        listener.crashed(this, request);
        crash();
        sequence = 0;
        highestFence = 0;
        InstanceList.daemon(() -> {
            Thread.sleep(BACK_MILLIS);
            restart("i-" + Integer.toHexString(NEXT.incrementAndGet()));
            isUp = true;
        });
    }

    /** Returns the entries of the list for the engines, as they are listed now. */
    static List<String> entries(List<ModelEngine> engines, String service) {
        return engines.stream()
            .map(it -> InstanceList.entry(it.id, service, it.address(), zoneOf(engines.indexOf(it)), SLOTS, "ready", it.stage))
            .toList();
    }

    private static String zoneOf(int index) {
        return Fleet.ZONES[index % Fleet.ZONES.length];
    }
}
