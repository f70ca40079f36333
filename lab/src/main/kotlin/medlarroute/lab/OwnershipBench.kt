package medlarroute.lab

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.serialization.Serializable
import medlarroute.core.CallerSettings
import medlarroute.core.DrainSettings
import medlarroute.core.InstanceSettings
import medlarroute.core.OperatorSettings
import medlarroute.core.PeerSettings
import medlarroute.core.PlatformSettings
import medlarroute.core.RegistrySettings
import medlarroute.core.Settings
import medlarroute.server.EntryInstance
import org.HdrHistogram.Histogram
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Compares two ways to store the record of a submission: at the home that the submission id names, and as a claim row
 * in a table of the platform. Measures the latency, the writes to the platform and the jobs that complete during an
 * outage of the platform.
 *
 * Two entry instances, a platform stand-in that delays each reply by [replyDelayMs] and one backend stand-in run in
 * this process. The jobs run one at a time; each has a single task with a run time of 0 ms.
 */
internal class OwnershipBench(
    private val jobs: Int = 500,
    private val replyDelayMs: Long = 5,
    private val basePort: Int = 25_000,
    private val out: (String) -> Unit = ::println,
) {
    /** A way to submit a job: to the entry instance with index [entry], with its id in the header [header]. */
    private class Variant(val name: String, val entry: Int, val header: String, val id: (Int) -> String)

    @Serializable
    private class Counters(val reads: Long, val writes: Long, val lostReplies: Long)

    private val backends = BackendStandinGroup(listOf(BackendStandinSettings("backend1"))).start()
    private val platform = PlatformStandin(
        instances = listOf(
            PlatformInstance(
                id = "backend1",
                role = InstanceRole.BACKEND,
                failureDomain = "north",
                port = backends.standins.single().port,
                slots = 8,
            ),
        ),
        port = basePort,
        switches = PlatformSwitches(delayMs = replyDelayMs),
    ).start()
    private val admin = WebClient.of("http://127.0.0.1:${platform.adminPort}")
    private val entries = listOf(0, 1).map { EntryInstance(settings(it)).apply { start() } }
    private val clients = entries.map { WebClient.of("http://127.0.0.1:${it.callerPort}") }

    fun run() {
        try {
            applyRulesAndAwaitReady()
            val variants = variants()
            variants.forEach { measure(it, WARM_UP_JOBS, report = false) }
            out("%-44s %10s %10s %14s %10s".format("variant", "p50 us", "p99 us", "writes/job", "complete"))
            variants.forEach { measure(it, jobs, report = true) }
            out("while the platform is down:")
            platform.applySwitches(PlatformSwitches(outage = PlatformOutage.ERROR))
            variants.forEach { measure(it, OUTAGE_JOBS, report = true) }
        } finally {
            entries.forEach { it.drain() }
            platform.close()
            backends.close()
        }
    }

    private fun applyRulesAndAwaitReady() {
        val operators = WebClient.of("http://127.0.0.1:${entries.first().operatorPort}")
        val put = RequestHeaders.of(HttpMethod.PUT, "/v1/rules")
        val applied = operators.execute(put, """{"expectedVersion":0,"text":""}""").aggregate().join()
        check(applied.status().isSuccess) { "the rules were not accepted: ${applied.contentUtf8()}" }
        val deadline = TimeSource.Monotonic.markNow() + READY_TIMEOUT
        while (!entries.all(::isReady)) {
            check(deadline.hasNotPassedNow()) { "the entry instances did not become ready" }
            Thread.sleep(POLL_MS)
        }
    }

    private fun isReady(entry: EntryInstance): Boolean {
        val operators = WebClient.of("http://127.0.0.1:${entry.operatorPort}")
        val isReady = operators.get("/readyz").aggregate().join().status().isSuccess
        return isReady && "\"reachable\":true" in operators.get("/v1/status").aggregate().join().contentUtf8()
    }

    private fun variants(): List<Variant> {
        val ticket = openTicket()
        return listOf(
            Variant("home named in the id, sent to the home", 0, "submission-id") { "$ticket/${it * 2 + 1}" },
            Variant("home named in the id, sent to a peer", 1, "submission-id") { "$ticket/${it * 2 + 2}" },
            Variant("claim row in the platform's table", 0, "idempotency-key") { "key-$it" },
        )
    }

    private fun openTicket(): String {
        val headers = RequestHeaders.of(HttpMethod.POST, "/v1/tickets", "x-caller", CALLER)
        val reply = clients.first().execute(headers).aggregate().join()
        return labJson.decodeFromString<TicketReply>(reply.contentUtf8()).ticket
    }

    private var nextJob = 0

    private fun measure(variant: Variant, count: Int, report: Boolean) {
        val histogram = Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        val writesBefore = platformWrites()
        var complete = 0
        repeat(count) {
            val startedAt = TimeSource.Monotonic.markNow()
            if (submit(variant, nextJob++).status().code() == HTTP_OK) complete++
            histogram.recordValue(startedAt.elapsedNow().inWholeMicroseconds.coerceIn(1, MAX_LATENCY_US))
        }
        if (!report) return
        val writesPerJob = (platformWrites() - writesBefore).toDouble() / count
        val p50 = histogram.getValueAtPercentile(MEDIAN)
        val p99 = histogram.getValueAtPercentile(HIGH_PERCENTILE)
        out("%-44s %10d %10d %14.2f %5d/%d".format(variant.name, p50, p99, writesPerJob, complete, count))
    }

    private fun platformWrites(): Long =
        labJson.decodeFromString<Counters>(admin.get("/counters").aggregate().join().contentUtf8()).writes

    private fun submit(variant: Variant, job: Int): AggregatedHttpResponse {
        val headers = RequestHeaders.builder(HttpMethod.POST, "/v1/jobs")
            .contentType(MediaType.JSON)
            .set("x-caller", CALLER)
            .set(variant.header, variant.id(job))
            .build()
        val body = """{"kind":"check","deadlineMs":5000,"idempotent":true,"tasks":[{"payload":"ms=0;n=$job"}]}"""
        return clients[variant.entry].execute(headers, body).aggregate().join()
    }

    private fun settings(index: Int): Settings {
        val peerPort = basePort + PEER_OFFSET + index
        return Settings(
            instance = InstanceSettings(id = "e$index", failureDomain = "north", instancesInFailureDomain = 2),
            callers = CallerSettings(port = 0),
            operators = OperatorSettings(port = 0),
            peers = PeerSettings(port = peerPort, seeds = listOf("127.0.0.1:${basePort + PEER_OFFSET}")),
            platform = PlatformSettings(url = "http://127.0.0.1:$basePort"),
            registry = RegistrySettings(windowSequences = 100_000),
            drain = DrainSettings(settleMs = 0),
        )
    }

    private companion object {
        const val CALLER = "router"
        const val WARM_UP_JOBS = 200
        const val OUTAGE_JOBS = 20
        const val PEER_OFFSET = 10
        const val POLL_MS = 100L
        const val HTTP_OK = 200
        const val MAX_LATENCY_US = 60_000_000L
        const val SIGNIFICANT_DIGITS = 3
        const val MEDIAN = 50.0
        const val HIGH_PERCENTILE = 99.0
        val READY_TIMEOUT = 30.seconds
    }
}

/** Runs the comparison. */
fun main() = OwnershipBench().run()
