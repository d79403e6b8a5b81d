import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of the system, started as deploy/system.toml says, and started again when it ends. */
final class Host {
    /** The same on all machines, as on the platform. */
    static final int CALLERS = Ports.free();
    static final int READY = Ports.free();
    static final int PEERS = Ports.free();
    static final int OPERATORS = Ports.free();
    static final int LOADS = Ports.free();

    final String name;
    final String ip;
    /** Ends of the process that nobody caused. */
    final List<String> ownEnds = new ArrayList<>();
    private final String settings;
    private final Path folder;
    private final Record record;
    private final ProcessBuilder command;
    private Process process;
    private volatile boolean isStopping;
    private volatile boolean isKilled;

    /** Bounds of a site that the template of the settings takes. */
    record Bounds(int retrySlack, int applyMillis) {}

    /** sites/sswc-burdock.toml. */
    static final Bounds SSWC = new Bounds(321, 2_000);

    /** demands/carpatica-aer-grown.toml. */
    static final Bounds CARPATICA = new Bounds(150, 3_000);

    Host(String name, String ip, String zone, int storePort, List<String> seeds, Bounds bounds,
        Path folder, Record record) throws IOException {
        this.name = name;
        this.ip = ip;
        this.folder = folder;
        this.record = record;
        StringBuilder peers = new StringBuilder();
        for (String seed : seeds) {
            peers.append(peers.length() == 0 ? "" : ",").append("\"" + seed + ":" + PEERS + "\"");
        }
        // deploy/forward.json.template with the bounds of the site.
        settings = "{\"host\":{\"name\":\"" + name + "\",\"failureDomain\":\"" + zone + "\"},"
            + "\"callerAddress\":\"" + ip + ":" + CALLERS + "\",\"readyAddress\":\"" + ip + ":" + READY
            + "\",\"peerAddress\":\"" + ip + ":" + PEERS + "\",\"operatorAddress\":\"" + ip + ":"
            + OPERATORS + "\",\"loadAddress\":\"" + ip + ":" + LOADS + "\",\"storeAddress\":\"127.0.0.1:"
            + storePort + "\",\"seedPeers\":[" + peers + "],\"retries\":{\"ratio\":0.8,\"slack\":" + bounds.retrySlack + "},"
            + "\"targetLeaveLimitMillis\":" + bounds.applyMillis + ",\"catalogApplyLimitMillis\":"
            + bounds.applyMillis + ","
            + "\"targetReportIntervalMillis\":1200,\"stopGrace\":\"8s\"}";
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings);
        command = new ProcessBuilder("java", "@deploy/forward.options",
            "-XX:SharedArchiveFile=target/forward/classes.jsa", "-jar",
            "target/forward/burdock-platform-0.1.0.jar", "--config", file.toString());
        command.redirectErrorStream(true);
        command.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder + "/" + name + ".log")));
        start();
    }

    private synchronized void start() throws IOException {
        process = command.start();
        Process started = process;
        record.line("host " + name + " starts, process " + started.pid());
        started.onExit().thenAccept(this::onExit);
    }

    private void onExit(Process ended) {
        if (isStopping || isKilled) return;
        synchronized (this) {
            ownEnds.add("status " + ended.exitValue());
        }
        record.line("host " + name + " ENDED BY ITSELF, status " + ended.exitValue() + ", end "
            + ownEnds.size());
        try {
            TimeUnit.MILLISECONDS.sleep(500);
            if (!isStopping) start();
        } catch (IOException | InterruptedException e) {
            record.line("host " + name + " can't start: " + e);
        }
    }

    /** Sends the signal with this name to the process. */
    void signal(String signal) throws IOException, InterruptedException {
        record.line("signal " + signal + " to host " + name);
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    /** Kills the process, as the loss of the machine does; [restart] starts it again. */
    void kill() throws InterruptedException {
        isKilled = true;
        process.destroyForcibly().waitFor();
        record.line("host " + name + " is killed");
    }

    void restart() throws IOException {
        isKilled = false;
        start();
    }

    boolean isReady() {
        try {
            URL url = new URL("http://" + ip + ":" + READY + "/burdockspread/readyz");
            HttpURLConnection connection = (HttpURLConnection) url.openConnection();
            connection.setConnectTimeout(300);
            connection.setReadTimeout(300);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void stop() {
        isStopping = true;
        synchronized (this) {
            process.destroyForcibly();
        }
    }
}
