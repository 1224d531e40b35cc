import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One of three control instances is removed for good and replaced by an empty one at another address. After the new one
 * has had its time to catch up, one of the others loses its disk. What was acknowledged must still be read back.
 */
final class CoreReplaced extends Case {
    private static final int REMOVED = 2;
    private static final int SUCCESSOR = 3;
    private static final int WIPED = 1;
    private static final long SUCCESSOR_AFTER_MILLIS = 1_000;
    private static final long CATCH_UP_MILLIS = 4_000;
    private static final long DOWN_MILLIS = 2_000;
    private static final long READ_MILLIS = 40_000;
    private static final int MANIFESTS = 6;
    private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");

    public static void main(String[] arguments) throws IOException {
        new CoreReplaced().start();
    }

    @Override
    boolean run() throws Exception {
        try (Deployment deployment = new Deployment(4, 1, 56)) {
            deployment.list = ArrayList::new;
            deployment.startAll(version(1));
            for (int i = 2; i <= MANIFESTS; i++) record("PUT of version " + i + ": " + deployment.put(version(i)));
            Thread.sleep(10_000);
            if (hasTrouble) {
                record("control-" + REMOVED + " is removed for good");
                deployment.killControl(REMOVED);
                Thread.sleep(SUCCESSOR_AFTER_MILLIS);
                record("control-" + SUCCESSOR + " starts at another address with an empty disk");
                deployment.startControl(SUCCESSOR, false);
                Thread.sleep(CATCH_UP_MILLIS + 1_000);
                int status = deployment.put(version(MANIFESTS + 1));
                record("PUT of version " + (MANIFESTS + 1) + ": " + status);
                if (status != 200) throw new Deployment.CannotRun("the change after the removal had no ack");
                record("control-" + WIPED + " is killed and loses its disk");
                deployment.killControl(WIPED);
                deployment.loseDisk(WIPED);
                Thread.sleep(DOWN_MILLIS);
                record("control-" + WIPED + " starts again with an empty disk");
                deployment.startControl(WIPED, false);
            }
            return isReadBack(deployment, hasTrouble ? MANIFESTS + 1 : MANIFESTS);
        }
    }

    private static String version(int version) {
        return manifest(
            version, route("book", "/book/", "non_idempotent", 600, 121, "bookings", 1), service("bookings"));
    }

    private boolean isReadBack(Deployment deployment, int acknowledged) throws InterruptedException {
        long endNanos = System.nanoTime() + READ_MILLIS * 1_000_000;
        int reads = 0;
        while (System.nanoTime() < endNanos) {
            for (int i = 0; i < deployment.controlCount; i++) {
                String answer = read(deployment, i);
                reads++;
                if (reads <= 8 || answer.startsWith("200")) record("GET at control-" + i + ": " + answer);
                if (answer.equals("200, version " + acknowledged)) return true;
            }
            Thread.sleep(500);
        }
        record("version " + acknowledged + " was acknowledged, and is not read back in " + reads + " reads, "
            + READ_MILLIS + " ms");
        return false;
    }

    private static String read(Deployment deployment, int control) {
        try {
            Http.Answer answer =
                Http.call(deployment.controlIp(control), deployment.operatorPort, "GET", "/config", "", 4_000);
            Matcher version = VERSION.matcher(new String(answer.body, StandardCharsets.UTF_8));
            return answer.status + (version.find() ? ", version " + version.group(1) : "");
        } catch (IOException e) {
            return e.getMessage();
        }
    }
}
