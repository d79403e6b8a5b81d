import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** What all cases do: set up, play, tidy up, exit with 1 if the rule was broken, 0 if it held. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    private static final int SETUP_SECONDS = 30;

    /** False with TROUBLE=0 in the environment: the same without the disruption. */
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));

    abstract Deployment deploy(Path temporary, Record record) throws Exception;

    /** Plays the case once all hosts are ready; returns its exit status. */
    abstract int play(Deployment deployment, Record record) throws Exception;

    /** Runs the case; the record goes to the folder that [args] name. */
    final void run(String[] args) throws Exception {
        Record record = new Record(Path.of(args[0]).resolve("record.txt"));
        Path temporary = Files.createTempDirectory("burdock-case");
        int status = COULD_NOT_RUN;
        try {
            Deployment deployment = deploy(temporary, record);
            // Also when this process is ended.
            Runtime.getRuntime().addShutdownHook(new Thread(deployment::close));
            if (deployment.awaitReady(SETUP_SECONDS)) {
                status = play(deployment, record);
            } else {
                record.line("the hosts did not become ready");
            }
            deployment.close();
        } catch (Exception e) {
            record.line("the case can't run: " + e);
        }
        String meaning = new String[] {"the rule held", "the rule was broken", "could not run"}[status];
        record.line("exit " + status + ": " + meaning);
        System.out.println("exit " + status + ": " + meaning);
        delete(temporary);
        System.exit(status);
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(it -> it.toFile().delete());
        }
    }
}
