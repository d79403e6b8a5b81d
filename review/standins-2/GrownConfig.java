import java.nio.file.Path;

/** The configuration grows by many routes, later all processes are killed and start again. */
final class GrownConfig extends Case {
    private static final double LINK_MBPS = 7;
    private static final int BIG_CONFIG = 1_580;

    public static void main(String[] args) throws Exception {
        new GrownConfig().run(args);
    }

    @Override
    Deployment deploy(Path temporary, Record record) throws Exception {
        return new Deployment(temporary, record, 3, 3, 3, Host.CARPATICA, LINK_MBPS);
    }

    @Override
    int play(Deployment deployment, Record record) throws Exception {
        deployment.traffic(1, 4);
        for (int times = 1; times <= 2 && hasTrouble; times++) {
            String config = Deployment.config(7 + times, times * BIG_CONFIG);
            deployment.store.write("config", "main", config);
            record.line("configuration " + (7 + times) + " is acknowledged, " + times * BIG_CONFIG
                + " routes more, " + config.length() + " bytes");
            deployment.traffic(1_000 * times, 4);
        }
        int before = deployment.traffic(5_000, 6);
        for (Host host : deployment.hosts) host.kill();
        Thread.sleep(1_400);
        for (Host host : deployment.hosts) host.restart();
        record.line("all machines are back; recovery_s is 15");
        Thread.sleep(15_000);
        int after = deployment.traffic(9_000, 30);
        for (Host host : deployment.hosts) record.line(host.name + " is ready: " + host.isReady());
        record.line("served before the kill: " + before + " %, later than recovery_s after it: " + after + " %");
        if (before < 25) return COULD_NOT_RUN;
        return after < 25 ? BROKEN : HELD;
    }
}
