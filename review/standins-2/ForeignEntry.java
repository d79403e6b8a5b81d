import java.nio.file.Path;

/** Another writer's entry of kind `servers`, whose slots are a list of numbers. */
final class ForeignEntry extends Case {
    /** How often the other writer writes. */
    private static final double PERIOD_SECONDS = 5;
    private static final int ENTRIES = 3;
    private static final int ENTRY_BYTES = 1_048_000;

    public static void main(String[] args) throws Exception {
        new ForeignEntry().run(args);
    }

    @Override
    Deployment deploy(Path temporary, Record record) throws Exception {
        return new Deployment(temporary, record, 3, 3, 3);
    }

    @Override
    int play(Deployment deployment, Record record) throws Exception {
        double begin = record.seconds();
        int served = 0;
        int unserved = 0;
        int written = 0;
        for (int i = 0; record.seconds() - begin < 60 && broken(deployment) < 2; i++) {
            if (hasTrouble && record.seconds() - begin > 6 + written * PERIOD_SECONDS) {
                written++;
                for (int j = 0; j < ENTRIES; j++) {
                    deployment.store.write("servers", "x-other-writer-" + j, entry(ENTRY_BYTES, written));
                }
                record.line("another writer wrote " + ENTRIES + " entries of " + ENTRY_BYTES + " bytes");
            }
            Host host = deployment.hosts.get(i % deployment.hosts.size());
            boolean isBooking = i % 2 == 0;
            String id = String.format("%016x", i + 1);
            Client.Answer answer = Client.send(host.ip, isBooking ? "POST" : "GET",
                isBooking ? "/book/1" : "/stock/1", id, 2_500);
            record.line("sent " + id + " to " + host.name + ", answered " + answer.status() + " "
                + answer.body().trim());
            if (answer.status() == 200) served++; else unserved++;
            Thread.sleep(100);
        }
        long ended = broken(deployment);
        deployment.hosts.forEach(it -> record.line(it.name + " ended by itself: " + it.ownEnds));
        record.line("served " + served + ", not served " + unserved);
        record.line("hosts whose process ended by itself three times: " + ended);
        return ended >= 2 ? BROKEN : HELD;
    }

    private static long broken(Deployment deployment) {
        return deployment.hosts.stream().filter(it -> it.ownEnds.size() >= 3).count();
    }

    /** Returns an entry of at most [size] bytes with a field of another type. */
    static String entry(int size, int sequence) {
        String begin = "{\"sequence\":" + sequence + ",\"service\":\"order-desk\",\"state\":\"ready\",\"zone\":\"zone-0\",\"slots\":[0";
        String nested = "," + "[".repeat(50) + "]".repeat(50);
        StringBuilder entry = new StringBuilder(begin);
        while (entry.length() + nested.length() + 2 <= size) entry.append(nested);
        return entry.append("]}").toString();
    }
}
