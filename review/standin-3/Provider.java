import com.sun.net.httpserver.HttpServer;
import java.net.InetSocketAddress;
import java.util.*;
import java.util.concurrent.*;

/** The provider's list of engines: one page, as fresh as it is set. */
public final class Provider {
    private final HttpServer server;
    public volatile List<String> entries = new CopyOnWriteArrayList<>();

    Provider() throws Exception {
        server = HttpServer.create(new InetSocketAddress("127.0.0.100", 0), 50);
        server.setExecutor(Executors.newFixedThreadPool(4, r -> { Thread t = new Thread(r); t.setDaemon(true); return t; }));
        server.createContext("/instances", x -> {
            byte[] body = ("{\"instances\":[" + String.join(",", entries) + "],\"next\":null}").getBytes();
            x.getResponseHeaders().set("Content-Type", "application/json");
            x.sendResponseHeaders(200, body.length);
            x.getResponseBody().write(body);
            x.close();
        });
        server.start();
    }

    public String address() { return "127.0.0.100:" + server.getAddress().getPort(); }

    public static String entry(String id, String service, String address, String zone, int slots, String state, String extra) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0" + extra
            + ",\"id\":\"" + id + "\"}";
    }
}
