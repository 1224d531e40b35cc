import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A server of a plain service, which answers each request after its work. */
class PlainService extends Engine {
    static final int SLOTS = 6;
    final AtomicInteger runs = new AtomicInteger();
    /** When each request began to run, by its id, in milliseconds of the run. */
    final Map<String, Long> runMillis = new ConcurrentHashMap<>();
    private final AtomicLong running = new AtomicLong();
    private final long workMillis;

    PlainService(String id, String ip, long workMillis) throws IOException {
        super(id, ip);
        this.workMillis = workMillis;
    }

    @Override
    boolean answer(Message request, OutputStream out) throws Exception {
        String requestId = request.field("Request-Id");
        String echo = requestId == null ? "" : "Request-Id: " + requestId + "\r\n";
        String load = "Server-Load: " + running.get() + ",0," + SLOTS + "\r\n";
        if (request.target().equals("/health")) {
            respond(out, 200, "Instance-Id: " + id + "\r\n" + load + extraFields(), "");
            return true;
        }
        String expected = request.field("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            respond(out, 421, echo + load + extraFields(), "");
            return true;
        }
        runs.incrementAndGet();
        runMillis.put("" + requestId, Fleet.nowMillis());
        running.incrementAndGet();
        try {
            Thread.sleep(workMillis);
        } finally {
            running.decrementAndGet();
        }
        respond(out, 200, echo + "Response-Signature: 3e1b.07." + id + "\r\n" + load + extraFields(), "answer to " + requestId);
        return true;
    }

    /** The fields that each answer has besides. */
    String extraFields() {
        return "";
    }
}
