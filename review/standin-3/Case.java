/** Runs a case: exits with its result, with 2 if it could not run, and at 118 s at the latest. */
public final class Case {
    public interface Body { int run() throws Exception; }

    public static boolean hasTrouble() { return !"0".equals(System.getenv("TROUBLE")); }

    public static void run(Body body) {
        Thread watch = new Thread(() -> {
            try {
                Thread.sleep(118_000);
            } catch (InterruptedException e) {
                return;
            }
            System.err.println("the case did not end in time");
            System.exit(2);
        });
        watch.setDaemon(true);
        watch.start();
        int code;
        try {
            code = body.run();
        } catch (Throwable e) {
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }
}
