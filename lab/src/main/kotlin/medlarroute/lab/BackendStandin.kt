package medlarroute.lab

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import java.net.InetSocketAddress
import java.net.SocketAddress
import java.time.Duration.ZERO
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit.MILLISECONDS
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * What a backend stand-in is.
 *
 * @property port 0: any free port.
 * @property kindRunTimesMs run times at speed 1 of tasks whose payload names none, by kind.
 * @property usageLagMs age of what `GET /v1/usage` reports.
 * @property seed of the choice of stragglers.
 */
data class BackendStandinSettings(
    val id: String,
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val slots: Int = 8,
    val maxConnections: Int = 64,
    val kindRunTimesMs: Map<String, Long> = emptyMap(),
    val usageLagMs: Long = 2_000,
    val seed: Long = 1,
    val switches: BackendSwitches = BackendSwitches(),
)

/**
 * Test double of a backend server, after docs/backend-protocol.md.
 *
 * The output of a task is a function of its payload alone, so that a checker knows the right answer. Every start is in
 * [startLog] before the task runs.
 */
class BackendStandin(
    private val settings: BackendStandinSettings,
    private val timer: ScheduledExecutorService,
    private val startLog: StartLog? = null,
) : AutoCloseable {
    @Serializable
    private class StartRequest(
        val task: String,
        val kind: String,
        val payload: String,
        val leaseMs: Long,
        @Suppress("unused") val idempotent: Boolean = true,
    )

    @Serializable
    private class LeaseRequest(val leaseMs: Long)

    @Serializable
    private class ThrottleRequest(val rate: Double)

    @Serializable
    private class CheckpointReply(val checkpoint: String, val workLeftMs: Long)

    @Serializable
    private class UsageReply(val busySlots: Int, val slots: Int, val ageMs: Long)

    @Serializable
    private class Problem(val message: String)

    private class UsageSample(val taken: TimeSource.Monotonic.ValueTimeMark, val busySlots: Int)

    private val gate = ConnectionGate()
    private val tasks = TaskTable(settings.slots, timer, ::logTask)
    private val random = Random(settings.seed)
    private val lastContexts = ConcurrentHashMap<SocketAddress, ServiceRequestContext>()
    private val usage = ArrayDeque<UsageSample>()

    @Volatile
    private var incarnation = System.currentTimeMillis()

    /** How the stand-in behaves; set with [change]. */
    @Volatile
    var switches: BackendSwitches = settings.switches
        private set

    private val server = Server.builder()
        .http(InetSocketAddress(settings.host, settings.port))
        .maxNumConnections(settings.maxConnections)
        .childChannelPipelineCustomizer { gate.install(it) }
        .idleTimeout(ZERO)
        .requestTimeout(ZERO)
        .gracefulShutdownTimeout(ZERO, ZERO)
        .serviceUnder("/v1") { context, request ->
            lastContexts[context.remoteAddress()] = context
            HttpResponse.of(request.aggregate().thenApply { answer(context, it) })
        }
        .build()

    private val usageSampler = timer.scheduleAtFixedRate(::sampleUsage, 0, USAGE_INTERVAL_MS, MILLISECONDS)

    val id: String get() = settings.id

    /** The port it listens on, once started. */
    val port: Int get() = server.activeLocalPort()

    /** Connections that are open now. */
    val openConnections: Int get() = gate.openConnections

    /** Tasks that run now. */
    val busySlots: Int get() = tasks.busySlots

    fun start(): BackendStandin {
        server.start().join()
        logState(if (switches.leaving) StartLogEvent.LEAVING else StartLogEvent.SERVING)
        return this
    }

    /** Puts new switches in force; a change to leaving sends GOAWAY on all connections that have carried a request. */
    @Synchronized
    fun change(changed: BackendSwitches) {
        val before = switches
        switches = changed
        gate.paused = changed.paused
        if (changed.leaving == before.leaving) return
        logState(if (changed.leaving) StartLogEvent.LEAVING else StartLogEvent.SERVING)
        if (changed.leaving) lastContexts.values.forEach { it.initiateConnectionShutdown() }
        lastContexts.clear()
    }

    /** Makes the connections that are open now silent for good; returns their number. */
    fun silence(): Int = gate.silenceExisting()

    /** Drops all tasks and connections, takes no connection for [downTime], then serves as a new incarnation. */
    fun crash(downTime: Duration = Duration.ZERO) {
        gate.closed = true
        gate.resetAll()
        tasks.crash()
        lastContexts.clear()
        timer.schedule(::restart, downTime.inWholeMilliseconds, MILLISECONDS)
    }

    /** Does not wait for the threads of the server to end, which takes 2 s. */
    override fun close() {
        usageSampler.cancel(false)
        tasks.crash()
        server.stop()
    }

    private fun restart() {
        incarnation = maxOf(incarnation + 1, System.currentTimeMillis())
        gate.closed = false
    }

    private fun answer(context: ServiceRequestContext, request: AggregatedHttpRequest): HttpResponse =
        try {
            route(context.method(), pathOf(context).removePrefix("/v1/"), request.contentUtf8())
        } catch (malformed: SerializationException) {
            reply(HttpStatus.BAD_REQUEST, Problem(malformed.message.orEmpty()))
        } catch (malformed: IllegalArgumentException) {
            reply(HttpStatus.BAD_REQUEST, Problem(malformed.message.orEmpty()))
        }

    /** Armeria keeps an encoded slash as it is; task ids may come with either form. */
    private fun pathOf(
        context: ServiceRequestContext,
    ): String = context.decodedPath().replace("%2F", "/", ignoreCase = true)

    private fun route(method: HttpMethod, path: String, body: String): HttpResponse {
        val task = path.removePrefix("tasks/")
        return when {
            method == HttpMethod.POST && path == "tasks" -> startTask(labJson.decodeFromString(body))
            method == HttpMethod.GET && path == "usage" -> reply(HttpStatus.OK, laggedUsage())
            task == path -> notFound("no such resource")
            method == HttpMethod.GET -> tasks.report(task)?.let { reply(HttpStatus.OK, it) } ?: notFound("unknown task")
            method == HttpMethod.PUT && task.endsWith("/lease") -> renewLease(task.removeSuffix("/lease"), body)
            method == HttpMethod.POST -> act(task.substringBeforeLast('/'), task.substringAfterLast('/'), body)
            else -> notFound("no such resource")
        }
    }

    private fun startTask(request: StartRequest): HttpResponse {
        if (switches.leaving && !switches.startsWhileLeaving) return notStarted("leaving")
        if (switches.busy) return notStarted("busy")
        val work = StandinWork.parse(request.payload)
        val fails = work.fails || switches.failsAll
        val report = tasks.start(
            request.task,
            request.payload,
            runTime(request, work),
            request.leaseMs.milliseconds,
            fails,
        )
        return report?.let { HttpResponse.of(it.thenApply { end -> reply(HttpStatus.OK, end) }) } ?: notStarted("busy")
    }

    private fun runTime(request: StartRequest, work: StandinWork): Duration {
        if (switches.failsAll) return FAILING_RUN_TIME
        val full = work.runTime ?: (settings.kindRunTimesMs[request.kind] ?: DEFAULT_RUN_TIME_MS).milliseconds
        val isStraggler =
            switches.stragglerShare > 0 && synchronized(random) { random.nextDouble() } < switches.stragglerShare
        return full / switches.speed * (if (isStraggler) switches.stragglerFactor else 1.0)
    }

    private fun renewLease(task: String, body: String): HttpResponse {
        val lease = labJson.decodeFromString<LeaseRequest>(body).leaseMs.milliseconds
        return if (tasks.renewLease(task, lease)) noContent() else notFound("the task does not run")
    }

    private fun act(task: String, action: String, body: String): HttpResponse {
        val found = when (action) {
            "stop" -> tasks.stop(task)
            "throttle" -> tasks.throttle(task, requireRate(labJson.decodeFromString<ThrottleRequest>(body).rate))
            "checkpoint" -> return checkpoint(task)
            else -> return notFound("no such action")
        }
        return if (found) noContent() else notFound("the task does not run")
    }

    private fun requireRate(rate: Double): Double = rate.also {
        require(it > 0 && it <= 1) { "rate must be above 0, up to 1" }
    }

    private fun checkpoint(task: String): HttpResponse {
        val workLeft = tasks.workLeft(task) ?: return notFound("the task does not run")
        return reply(
            HttpStatus.OK,
            CheckpointReply("$task@${workLeft.inWholeMilliseconds}", workLeft.inWholeMilliseconds),
        )
    }

    private fun sampleUsage(): Unit = synchronized(usage) {
        usage.addLast(UsageSample(TimeSource.Monotonic.markNow(), tasks.busySlots))
        while (usage.size > 1 &&
            usage[1].taken.elapsedNow().inWholeMilliseconds >= settings.usageLagMs
        ) {
            usage.removeFirst()
        }
    }

    private fun laggedUsage(): UsageReply = synchronized(usage) {
        val oldest = usage.first()
        UsageReply(oldest.busySlots, settings.slots, oldest.taken.elapsedNow().inWholeMilliseconds)
    }

    private fun notStarted(reason: String): HttpResponse =
        jsonResponse(Problem(reason), HttpStatus.SERVICE_UNAVAILABLE, stateHeaders() + ("Task-Started" to "no"))

    private fun notFound(message: String): HttpResponse = reply(HttpStatus.NOT_FOUND, Problem(message))

    private fun noContent(): HttpResponse =
        HttpResponse.of(
            com.linecorp.armeria.common.ResponseHeaders.builder(HttpStatus.NO_CONTENT)
                .apply { stateHeaders().forEach { (name, value) -> set(name.lowercase(), value) } }
                .build(),
        )

    private inline fun <reified T> reply(status: HttpStatus, body: T): HttpResponse = jsonResponse(
        body,
        status,
        stateHeaders(),
    )

    private fun stateHeaders(): Map<String, String> =
        mapOf(
            "Backend-State" to if (switches.leaving) "leaving" else "serving",
            "Busy-Slots" to tasks.busySlots.toString(),
            "Slots" to settings.slots.toString(),
            "Backend-Incarnation" to incarnation.toString(),
        )

    private fun logTask(task: String, outcome: TaskOutcome?) {
        val event = if (outcome == null) StartLogEvent.START else StartLogEvent.END
        startLog?.write(StartLogEntry(event, System.currentTimeMillis(), settings.id, task, outcome))
    }

    private fun logState(event: StartLogEvent) {
        startLog?.write(StartLogEntry(event, System.currentTimeMillis(), settings.id))
    }

    private companion object {
        const val USAGE_INTERVAL_MS = 100L
        const val DEFAULT_RUN_TIME_MS = 50L
        val FAILING_RUN_TIME = 5.milliseconds
    }
}
