import java.nio.file.Path;
import java.util.List;

/**
 * A cancelling is acknowledged by an instance that no other instance hears, and the job goes on.
 *
 * A client has handed in a job of steps that run one after the other. An instance that neither took the job nor owns the
 * runners is cut off from the other instances. The client sends it the cancelling, and it is acknowledged.
 */
final class CutCancel {
    private static final String JOB = "00c0ffee00c0ffee";
    private static final String PATH = "/desk/" + JOB;
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

        Thread caller = new Thread(() -> fleet.call(entry, "POST", PATH, Fleet.chain(10, 2, 2_000, 1_000), 12_000, 15_000));
        caller.start();
        Fleet.sleep(300);
        if (fleet.hasTrouble) fleet.cut(isolated, true);
        long cutMs = fleet.record.nowMs();
        Fleet.sleep(300);
        Web.Answer cancelled = fleet.call(isolated, "DELETE", PATH, "", 1_500, 3_000);
        long ackMs = fleet.record.nowMs();
        Fleet.sleep(cutMs + CUT_MS - fleet.record.nowMs());
        if (fleet.hasTrouble) fleet.cut(isolated, false);
        Fleet.sleep(4_000);
        boolean isAcknowledged = cancelled.status / 100 == 2 || cancelled.status == 410;
        if (!isAcknowledged) fleet.finish(false, "the cancelling was not acknowledged: " + cancelled);
        List<Fleet.Start> late = fleet.startsOf(JOB, ackMs + Fleet.CANCEL_MS);
        fleet.finish(!late.isEmpty(), late.size() + " tasks of the job were started later than cancelMs after its cancelling "
            + "was acknowledged" + (late.isEmpty() ? "" : ", the first " + (late.get(0).atMs - ackMs) + " ms after"));
    }
}
