import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A cancelling is acknowledged by an instance that no other instance hears, and the job goes on.
 *
 * A client has handed in two jobs: one of steps that run one after the other, and a short one. An instance that neither
 * took the jobs nor owns the runners is cut off from the other instances. The client sends it the cancelling of both, and
 * both are acknowledged. A copy of the request of the short job arrives seconds after its answer.
 */
final class CutCancel {
    private static final String LONG = "00c0ffee00c0ffee";
    private static final String SHORT = "00decaf000decaf0";
    private static final long CUT_MS = 5_500;

    static void main(String[] arguments) throws Exception {
        Fleet fleet = new Fleet(Path.of(arguments[0]), 4, List.of("bench-hall", "design-room"), 6);
        fleet.proxyPeers();
        fleet.configure(7, List.of(Fleet.route("desk", "/desk/")));
        fleet.startAll();
        fleet.awaitReady();
        Fleet.sleep(4_000);
        Web.Answer other = fleet.call(
            fleet.instances.get(0), "POST", "/desk/0000000000000001", Fleet.chain(2, 4, 2_000, 200), 1_500, 3_000);
        if (other.status != 200 || !other.body.contains("complete")) fleet.cannotRun("a job before the trouble: " + other);
        Fleet.Instance owner = fleet.lastSenderOrNull();
        List<Fleet.Instance> others = fleet.instances.stream().filter(it -> it != owner).toList();
        Fleet.Instance entry = others.get(0);
        Fleet.Instance isolated = others.get(2);
        fleet.record.line("orders come from " + owner.name);

        String small = Fleet.chain(1, 4, 2_000, 800);
        fleet.inBackground(
            () -> fleet.call(entry, "POST", "/desk/" + LONG, Fleet.chain(10, 2, 2_000, 1_000), 12_000, 15_000));
        fleet.inBackground(() -> fleet.call(entry, "POST", "/desk/" + SHORT, small, 1_500, 3_000));
        Fleet.sleep(300);
        if (fleet.hasTrouble) fleet.cut(isolated, true);
        long cutMs = fleet.record.nowMs();
        Fleet.sleep(300);
        List<Fleet.Start> late = new ArrayList<>();
        List<String> findings = new ArrayList<>();
        long longAckMs = cancel(fleet, isolated, LONG);
        long shortAckMs = cancel(fleet, isolated, SHORT);
        Fleet.sleep(shortAckMs + Fleet.CANCEL_MS + 300 - fleet.record.nowMs());
        fleet.record.line("a copy of the request of the short job arrives");
        fleet.inBackground(() -> fleet.call(entry, "POST", "/desk/" + SHORT, small, 1_500, 3_000));
        Fleet.sleep(cutMs + CUT_MS - fleet.record.nowMs());
        if (fleet.hasTrouble) fleet.cut(isolated, false);
        Fleet.sleep(4_000);
        for (String job : List.of(LONG, SHORT)) {
            long ackMs = job.equals(LONG) ? longAckMs : shortAckMs;
            List<Fleet.Start> found = fleet.startsOf(job, ackMs + Fleet.CANCEL_MS);
            late.addAll(found);
            findings.add(found.size() + " of " + job
                + (found.isEmpty() ? "" : ", the first " + (found.get(0).atMs - ackMs) + " ms after"));
        }
        fleet.finish(!late.isEmpty(), "tasks started later than cancelMs after the acknowledged cancelling of their job: "
            + String.join("; ", findings));
    }

    /** Cancels [job]; returns the time of the acknowledgement. Without one, the rule can't be broken. */
    private static long cancel(Fleet fleet, Fleet.Instance instance, String job) {
        Web.Answer answer = fleet.call(instance, "DELETE", "/desk/" + job, "", 1_500, 3_000);
        boolean isAcknowledged = answer.status / 100 == 2 || answer.status == 410;
        if (!isAcknowledged) fleet.finish(false, "the cancelling of " + job + " was not acknowledged: " + answer);
        return fleet.record.nowMs();
    }
}
