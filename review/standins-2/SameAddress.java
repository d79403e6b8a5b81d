import java.nio.file.Path;

/** Another writer's entries name a service that isn't named here, at the runners' addresses. */
final class SameAddress extends Case {
    public static void main(String[] args) throws Exception {
        new SameAddress().run(args);
    }

    @Override
    Deployment deploy(Path temporary, Record record) throws Exception {
        return new Deployment(temporary, record, 3, 3, 3);
    }

    @Override
    int play(Deployment deployment, Record record) throws Exception {
        int before = deployment.traffic(1, 4);
        if (hasTrouble) {
            for (Runner runner : deployment.runners) {
                String entry = "{\"service\":\"watchdog\",\"address\":\"" + runner.address
                    + "\",\"zone\":\"zone-0\",\"version\":\"v1\",\"slots\":1,\"state\":\"ready\","
                    + "\"cold_remaining_ms\":0,\"born\":" + System.currentTimeMillis() + ",\"sequence\":0}";
                deployment.store.write("servers", "w-" + runner.id, entry);
                record.line("another writer wrote servers/w-" + runner.id + " " + entry);
            }
        }
        Thread.sleep(2_500);
        int after = deployment.traffic(5_000, 40);
        record.line("served before: " + before + " %, after: " + after + " %");
        if (before < 90) return COULD_NOT_RUN;
        return after < 40 ? BROKEN : HELD;
    }
}
