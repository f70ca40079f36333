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
 * Settings of a backend stand-in.
 *
 * @property port 0 selects any free port.
 * @property kindRunTimesMs run times at speed 1 of tasks whose payload sets none, by kind.
 * @property usageLagMs age of the figures that `GET /v1/usage` reports.
 * @property seed seed of the random selection of stragglers.
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
 * Test double of a backend server that implements the protocol of docs/backend-protocol.md.
 *
 * The output of a task depends only on its payload, so that a checker knows the correct answer. Every start is written
 * to [startLog] before the task runs.
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
    private class ErrorReply(val message: String)

    private class UsageSample(val sampledAt: TimeSource.Monotonic.ValueTimeMark, val busySlots: Int)

    private val faults = ConnectionFaultInjector()
    private val tasks = TaskTable(settings.slots, timer, ::logTaskEvent)
    private val random = Random(settings.seed)

    /** Context of the last request of each connection, through which the connection is shut down gracefully. */
    private val lastRequests = ConcurrentHashMap<SocketAddress, ServiceRequestContext>()
    private val usageSamples = ArrayDeque<UsageSample>()

    @Volatile
    private var incarnation = System.currentTimeMillis()

    /** The current fault switches; replaced by [applySwitches]. */
    @Volatile
    var switches: BackendSwitches = settings.switches
        private set

    private val server = Server.builder()
        .http(InetSocketAddress(settings.host, settings.port))
        .maxNumConnections(settings.maxConnections)
        .childChannelPipelineCustomizer { faults.install(it) }
        .idleTimeout(ZERO)
        .requestTimeout(ZERO)
        .gracefulShutdownTimeout(ZERO, ZERO)
        .serviceUnder("/v1") { context, request ->
            lastRequests[context.remoteAddress()] = context
            HttpResponse.of(request.aggregate().thenApply { handle(context, it) })
        }
        .build()

    private val usageSampler = timer.scheduleAtFixedRate(::sampleUsage, 0, USAGE_INTERVAL_MS, MILLISECONDS)

    val id: String get() = settings.id

    /** The port it listens on; available after [start]. */
    val port: Int get() = server.activeLocalPort()

    val openConnections: Int get() = faults.openConnections

    /** Number of running tasks. */
    val busySlots: Int get() = tasks.busySlots

    fun start(): BackendStandin {
        server.start().join()
        logStateChange(if (switches.leaving) StartLogEvent.LEAVING else StartLogEvent.SERVING)
        return this
    }

    /** Replaces the switches. A change to leaving sends GOAWAY on all connections that have carried a request. */
    @Synchronized
    fun applySwitches(changed: BackendSwitches) {
        val before = switches
        switches = changed
        faults.stalled = changed.paused
        if (changed.leaving == before.leaving) return
        logStateChange(if (changed.leaving) StartLogEvent.LEAVING else StartLogEvent.SERVING)
        if (changed.leaving) lastRequests.values.forEach { it.initiateConnectionShutdown() }
        lastRequests.clear()
    }

    /**
     * Turns the currently open connections into black holes: they stay open, and all data on them is discarded. Returns
     * their number.
     */
    fun silence(): Int = faults.blackholeOpenConnections()

    /**
     * Simulates a crash: drops all tasks, resets all connections, accepts no connection for [downTime] and then serves
     * again as a new incarnation.
     */
    fun crash(downTime: Duration = Duration.ZERO) {
        faults.closed = true
        faults.resetAll()
        tasks.crash()
        lastRequests.clear()
        timer.schedule(::restart, downTime.inWholeMilliseconds, MILLISECONDS)
    }

    /** Stops the server without waiting for its threads to terminate, which takes 2 s. */
    override fun close() {
        usageSampler.cancel(false)
        tasks.crash()
        server.stop()
    }

    private fun restart() {
        incarnation = maxOf(incarnation + 1, System.currentTimeMillis())
        faults.closed = false
    }

    private fun handle(context: ServiceRequestContext, request: AggregatedHttpRequest): HttpResponse =
        try {
            route(context.method(), pathOf(context).removePrefix("/v1/"), request.contentUtf8())
        } catch (malformed: SerializationException) {
            reply(HttpStatus.BAD_REQUEST, ErrorReply(malformed.message.orEmpty()))
        } catch (malformed: IllegalArgumentException) {
            reply(HttpStatus.BAD_REQUEST, ErrorReply(malformed.message.orEmpty()))
        }

    /** Armeria doesn't decode an encoded slash, and clients may encode the slashes of a task id. */
    private fun pathOf(context: ServiceRequestContext): String =
        context.decodedPath().replace("%2F", "/", ignoreCase = true)

    private fun route(method: HttpMethod, path: String, body: String): HttpResponse {
        val task = path.removePrefix("tasks/")
        return when {
            method == HttpMethod.POST && path == "tasks" -> startTask(labJson.decodeFromString(body))
            method == HttpMethod.GET && path == "usage" -> reply(HttpStatus.OK, laggedUsage())
            task == path -> notFound("no such resource")
            method == HttpMethod.GET -> tasks.report(task)?.let { reply(HttpStatus.OK, it) } ?: notFound("unknown task")
            method == HttpMethod.PUT && task.endsWith("/lease") -> renewLease(task.removeSuffix("/lease"), body)
            method == HttpMethod.POST -> handleAction(task.substringBeforeLast('/'), task.substringAfterLast('/'), body)
            else -> notFound("no such resource")
        }
    }

    private fun startTask(request: StartRequest): HttpResponse {
        if (switches.leaving && !switches.startsWhileLeaving) return notStarted("leaving")
        if (switches.busy) return notStarted("busy")
        val spec = StandinTaskSpec.parse(request.payload)
        val fails = spec.fails || switches.failsAll
        val report = tasks.start(
            request.task,
            request.payload,
            runTime(request, spec),
            request.leaseMs.milliseconds,
            fails,
        )
        return report?.let { HttpResponse.of(it.thenApply { end -> reply(HttpStatus.OK, end) }) } ?: notStarted("busy")
    }

    private fun runTime(request: StartRequest, spec: StandinTaskSpec): Duration {
        if (switches.failsAll) return FAILING_RUN_TIME
        val fullRunTime = spec.runTime ?: (settings.kindRunTimesMs[request.kind] ?: DEFAULT_RUN_TIME_MS).milliseconds
        val isStraggler =
            switches.stragglerShare > 0 && synchronized(random) { random.nextDouble() } < switches.stragglerShare
        return fullRunTime / switches.speed * (if (isStraggler) switches.stragglerFactor else 1.0)
    }

    private fun renewLease(task: String, body: String): HttpResponse {
        val lease = labJson.decodeFromString<LeaseRequest>(body).leaseMs.milliseconds
        return if (tasks.renewLease(task, lease)) noContent() else notFound("the task is not running")
    }

    private fun handleAction(task: String, action: String, body: String): HttpResponse {
        val found = when (action) {
            "stop" -> tasks.stop(task)
            "throttle" -> tasks.throttle(task, requireValidRate(labJson.decodeFromString<ThrottleRequest>(body).rate))
            "checkpoint" -> return checkpoint(task)
            else -> return notFound("no such action")
        }
        return if (found) noContent() else notFound("the task is not running")
    }

    private fun requireValidRate(rate: Double): Double = rate.also {
        require(it > 0 && it <= 1) { "rate must be above 0, up to 1" }
    }

    private fun checkpoint(task: String): HttpResponse {
        val remaining = tasks.remainingWork(task) ?: return notFound("the task is not running")
        val remainingMs = remaining.inWholeMilliseconds
        return reply(HttpStatus.OK, CheckpointReply("$task@$remainingMs", remainingMs))
    }

    private fun sampleUsage(): Unit = synchronized(usageSamples) {
        usageSamples.addLast(UsageSample(TimeSource.Monotonic.markNow(), tasks.busySlots))
        while (usageSamples.size > 1 &&
            usageSamples[1].sampledAt.elapsedNow().inWholeMilliseconds >= settings.usageLagMs
        ) {
            usageSamples.removeFirst()
        }
    }

    private fun laggedUsage(): UsageReply = synchronized(usageSamples) {
        val oldest = usageSamples.first()
        UsageReply(oldest.busySlots, settings.slots, oldest.sampledAt.elapsedNow().inWholeMilliseconds)
    }

    private fun notStarted(reason: String): HttpResponse =
        jsonResponse(ErrorReply(reason), HttpStatus.SERVICE_UNAVAILABLE, stateHeaders() + ("Task-Started" to "no"))

    private fun notFound(message: String): HttpResponse = reply(HttpStatus.NOT_FOUND, ErrorReply(message))

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

    private fun logTaskEvent(task: String, outcome: TaskOutcome?) {
        val event = if (outcome == null) StartLogEvent.START else StartLogEvent.END
        startLog?.write(StartLogEntry(event, System.currentTimeMillis(), settings.id, task, outcome))
    }

    private fun logStateChange(event: StartLogEvent) {
        startLog?.write(StartLogEntry(event, System.currentTimeMillis(), settings.id))
    }

    private companion object {
        const val USAGE_INTERVAL_MS = 100L
        const val DEFAULT_RUN_TIME_MS = 50L
        val FAILING_RUN_TIME = 5.milliseconds
    }
}
