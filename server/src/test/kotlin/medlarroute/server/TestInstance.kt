package medlarroute.server

import arrow.core.left
import arrow.core.right
import medlarroute.core.CallerId
import medlarroute.core.FailureCode
import medlarroute.core.FailureDomainId
import medlarroute.core.Incarnation
import medlarroute.core.Input
import medlarroute.core.InstanceId
import medlarroute.core.InstanceSettings
import medlarroute.core.LendingSettings
import medlarroute.core.PeerSettings
import medlarroute.core.PlatformSettings
import medlarroute.core.RegistrySettings
import medlarroute.core.Rules
import medlarroute.core.RulesFinding
import medlarroute.core.RulesParser
import medlarroute.core.Settings
import medlarroute.core.SubmissionId
import medlarroute.core.SubmissionRegistry
import medlarroute.core.SuccessorRecords
import medlarroute.core.TeamId
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Rules format of the tests: `bad` is invalid, and `quota N` gives the team `imaging` N starts per second. */
internal val testParser = RulesParser { text ->
    val quota = text.substringAfter("quota ", "").toDoubleOrNull()
    val quotas = if (quota == null) emptyMap() else mapOf(TeamId("imaging") to quota)
    if ("bad" in text) listOf(RulesFinding(1, "bad word")).left() else Rules(quotas = quotas).right()
}

internal fun testFailure(submission: SubmissionId?, code: FailureCode, detail: String) =
    CallerReply(502, "failed mayHaveRun $submission $code $detail".encodeToByteArray())

/** The peer and platform connections of an entry instance, without callers' port, engine and backend servers. */
internal class TestInstance(
    name: String,
    failureDomain: String = "north",
    incarnation: Long = 1,
    platform: PlatformSettings = PlatformSettings(),
    seeds: List<Int> = emptyList(),
) : AutoCloseable {
    val home = SubmissionRegistry.Home(FailureDomainId(failureDomain), InstanceId(name), Incarnation(incarnation))
    val inputs = CopyOnWriteArrayList<Input>()
    val registry = SubmissionRegistry(home, RegistrySettings())
    val successors = SuccessorRecords(RegistrySettings())
    val handled = CopyOnWriteArrayList<CallerRequest>()

    @Volatile
    var handler = HomeHandler { request ->
        CompletableFuture.completedFuture(CallerReply(200, "$name ran ${request.submission}".encodeToByteArray()))
    }
    val network = PeerNetwork(
        Settings(
            instance = InstanceSettings(name, failureDomain, instancesInFailureDomain = 4),
            peers = PeerSettings(
                port = 0,
                heartbeatIntervalMs = 50,
                deadAfterMs = 500,
                seeds = seeds.map { "127.0.0.1:$it" },
            ),
            platform = platform,
        ),
        home,
        inputs::add,
        { request ->
            handled += request
            handler.handle(request)
        },
        successors,
        testParser,
        ::testFailure,
        LendingSettings(lease = 1.seconds, margin = 500.milliseconds),
    ).also { it.start() }

    fun forward(submission: SubmissionId, timeout: Duration = 2.seconds): String {
        val request = CallerRequest(
            Operation.SUBMIT,
            submission,
            CallerId("router"),
            "{}".encodeToByteArray(),
            timeout,
        )
        return network.forwarder.forward(request).join().body.decodeToString()
    }

    fun submission(sequence: Long = 1): SubmissionId =
        SubmissionId(checkNotNull(registry.openTicket(CallerId("router"))), sequence)

    fun hasPeer(other: TestInstance): Boolean = network.peers().any { it.member.home == other.home }

    override fun close() = network.close()
}

/** Closes [opened] in parallel, since an Armeria server takes two seconds to close its event loop. */
internal fun closeAll(opened: List<AutoCloseable>) {
    val closing = opened.map { CompletableFuture.runAsync(it::close, closeExecutor) }
    CompletableFuture.allOf(*closing.toTypedArray()).join()
}

private val closeExecutor = Executors.newCachedThreadPool {
    Thread(it, "closer").also { thread -> thread.isDaemon = true }
}

/** Waits until [condition] holds. [within] only stops a test that would fail anyway, so it is generous. */
internal fun eventually(what: String, within: Duration = 20.seconds, condition: () -> Boolean) {
    val until = TimeSource.Monotonic.markNow() + within
    while (!condition()) {
        check(until.hasNotPassedNow()) { "timed out after $within: $what" }
        Thread.sleep(10.milliseconds.inWholeMilliseconds)
    }
}
