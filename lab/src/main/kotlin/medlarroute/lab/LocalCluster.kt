package medlarroute.lab

import com.linecorp.armeria.client.ClientFactory
import medlarroute.core.BackendId
import medlarroute.core.BackendServer
import medlarroute.core.CallerSettings
import medlarroute.core.DrainSettings
import medlarroute.core.FailureDomainId
import medlarroute.core.OperatorSettings
import medlarroute.core.Rules
import medlarroute.core.Settings
import medlarroute.server.BackendEndpoint
import medlarroute.server.EntryInstance
import kotlin.time.TimeSource

/**
 * A cluster in one process: one entry instance without a platform and [backends] backend stand-ins, all on free ports
 * of 127.0.0.1.
 */
class LocalCluster(private val backends: Int = 3) : AutoCloseable {
    private val group = BackendStandinGroup((1..backends).map { BackendStandinSettings("backend$it") }).start()
    private val instance = EntryInstance(settings())
    private val factory = ClientFactory.builder().http2GracefulShutdownTimeoutMillis(0).build()

    init {
        instance.start()
        instance.applyRules(Rules(version = 1))
        group.standins.forEach { instance.addBackend(endpoint(it)) }
    }

    /** The port for callers. */
    val callerPort: Int get() = instance.callerPort

    /** Runs a job of [tasks] tasks with different run times and returns its result as text of several lines. */
    fun runExample(tasks: Int = EXAMPLE_TASKS): String {
        val client = CallerClient("127.0.0.1:$callerPort", factory, DEADLINE_MS)
        val payloads = List(tasks) { "ms=${MIN_RUN_MS + it % RUN_STEPS * RUN_STEP_MS};n=$it" }
        val submission = "${client.openTicket(CALLER).join()}/1"
        val startedAt = TimeSource.Monotonic.markNow()
        val job = JobRequest("example", DEADLINE_MS, idempotent = true, payloads.map { JobRequest.Task(it) })
        val (httpStatus, reply) = client.submit(CALLER, submission, job).join()
        return buildString {
            appendLine("1 entry instance on port $callerPort, $backends backend servers")
            appendLine(
                "job $submission of $tasks tasks: ${reply.status}, HTTP $httpStatus, after ${startedAt.elapsedNow()}",
            )
            reply.results.forEach { appendLine("  ${payloads[it.index]} -> ${it.output}") }
            reply.findings.forEach { appendLine("  ${it.code} ${it.place}: ${it.message}") }
        }
    }

    /** Drains the entry instance and stops the stand-ins. */
    override fun close() {
        instance.drain()
        factory.close()
        group.close()
    }

    private fun settings() = Settings(
        callers = CallerSettings(port = 0),
        operators = OperatorSettings(port = 0),
        drain = DrainSettings(settleMs = 0),
    )

    private fun endpoint(standin: BackendStandin) =
        BackendEndpoint(
            BackendServer(BackendId(standin.id), FailureDomainId("local"), slots = 8),
            "127.0.0.1",
            standin.port,
        )

    private companion object {
        const val CALLER = "example"
        const val EXAMPLE_TASKS = 12
        const val DEADLINE_MS = 10_000L
        const val MIN_RUN_MS = 50
        const val RUN_STEP_MS = 30
        const val RUN_STEPS = 5
    }
}
