import java.util.concurrent.Callable;

/** The frame of a case: its exit code is 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
final class Case {
    static boolean isTroubled() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static void run(Callable<Integer> play) {
        int exitCode = 2;
        try {
            exitCode = play.call();
        } catch (Throwable failure) {
            failure.printStackTrace();
        }
        System.out.println("exit code " + exitCode);
        System.exit(exitCode);
    }
}
