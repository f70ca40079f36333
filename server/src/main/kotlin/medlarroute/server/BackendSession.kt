package medlarroute.server

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.Clients
import com.linecorp.armeria.client.Endpoint
import com.linecorp.armeria.client.RequestOptions
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.SessionProtocol
import com.linecorp.armeria.common.logging.RequestLogProperty
import com.linecorp.armeria.common.util.Exceptions
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import kotlinx.serialization.SerializationException
import medlarroute.core.BackendSettings
import medlarroute.core.BackendUsage
import medlarroute.core.Effect
import medlarroute.core.Input
import medlarroute.core.NotStartedReason
import medlarroute.core.TaskId
import org.apache.logging.log4j.LogManager
import java.net.ConnectException
import java.net.URLEncoder
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Sends tasks to one backend server and tracks them until they end. All state is confined to [eventLoop]. */
internal class BackendSession(
    val address: BackendAddress,
    factory: ClientFactory,
    private val eventLoop: EventLoop,
    private val settings: BackendSettings,
    private val sink: InputSink,
    private val elapsed: () -> Duration,
    private val observer: BackendObserver,
) {
    /** A start that was sent and whose outcome is not known yet. */
    private inner class Attempt(val start: Effect.Start) {
        val sentAt = elapsed()
        var connection: BackendConnection? = null
        var renewal: ScheduledFuture<*>? = null
        var queriedSince: TimeSource.Monotonic.ValueTimeMark? = null

        val remaining: Duration get() = start.lease - (elapsed() - sentAt)
    }

    private val client = WebClient.builder(SessionProtocol.H2C, Endpoint.of(address.host, address.port))
        .factory(factory)
        .build()
    private val attempts = HashMap<TaskId, Attempt>()
    private var connection: BackendConnection? = null
    private var leaving = false

    /** Starts that wait for a connection; while there are any, a connection is being opened. */
    private val waiting = ArrayList<Effect.Start>()

    fun start(start: Effect.Start): Unit = eventLoop.execute {
        if (connection?.isUsable == true) sendUnlessStale(start) else sendOnceConnected(start)
    }

    fun stop(task: TaskId): Unit = eventLoop.execute { sendStop(task) }

    /** Sends starts over established connections only, so that nothing delays them after the check of their age. */
    private fun sendOnceConnected(start: Effect.Start) {
        waiting += start
        if (waiting.size > 1) return
        try {
            connect()
        } catch (e: RuntimeException) {
            log.warn("backend: can't open a connection to {}", address.id, e)
            connectionFailed()
        }
    }

    /** Opens a connection by sending a request, as the client library requires; the reply is ignored. */
    private fun connect() {
        val request = HttpRequest.of(RequestHeaders.of(HttpMethod.GET, "/v1/usage"))
        val timeout = settings.silentAfterMs.milliseconds
        execute(request, timeout, ::connected).aggregate().handle { _, _ -> onEventLoop(::connectionFailed) }
    }

    private fun connected(opened: BackendConnection) {
        connection = opened
        val starts = waiting.toList()
        waiting.clear()
        starts.forEach(::sendUnlessStale)
    }

    private fun connectionFailed() {
        val starts = waiting.toList()
        waiting.clear()
        starts.forEach { notStarted(it.task, NotStartedReason.NOT_DELIVERED, null) }
    }

    /** Sends [request] and calls [onConnection] with the connection that carries it, if one could be opened. */
    private fun execute(
        request: HttpRequest,
        timeout: Duration,
        onConnection: (BackendConnection) -> Unit,
    ): HttpResponse = Clients.newContextCaptor().use { captor ->
        val response = client.execute(request, responseTimeout(timeout))
        captor.getOrNull()?.log()?.whenAvailable(RequestLogProperty.SESSION)?.thenAccept { log ->
            log.channel()?.let { onEventLoop { onConnection(BackendConnection.of(it, ::goAwayReceived)) } }
        }
        response
    }

    /** Checks the age of the decision right before sending, since the process may have been paused after it. */
    private fun sendUnlessStale(start: Effect.Start) {
        if (elapsed() - start.decidedAt > settings.maxDecisionAgeMs.milliseconds) {
            return notStarted(start.task, NotStartedReason.STALE, null)
        }
        val attempt = Attempt(start)
        attempts[start.task] = attempt
        observer.started()
        lostOnError(attempt) {
            send(attempt)
            if (start.lease > settings.leaseMs.milliseconds) scheduleRenewal(attempt)
        }
    }

    private fun send(attempt: Attempt) {
        val start = attempt.start
        execute(startRequest(start), start.lease + REPLY_MARGIN) { connected(attempt, it) }
            .aggregate()
            .handle { reply, cause -> onEventLoop { lostOnError(attempt) { startEnded(attempt, reply, cause) } } }
    }

    /** Reports the task as lost on an unexpected error: it may have started, and would stay open if unreported. */
    private fun lostOnError(attempt: Attempt, action: () -> Unit) {
        try {
            action()
        } catch (e: RuntimeException) {
            loggedWith(attempt.start.task.submission) {
                log.error("backend: internal error in task {} on {}", attempt.start.task, address.id, e)
            }
            lost(attempt, "internal error: $e")
        }
    }

    private fun startRequest(start: Effect.Start): HttpRequest {
        val leaseMs = leaseMs(start.lease)
        val message =
            StartMessage(start.task.toString(), start.kind.value, start.payload, leaseMs, start.idempotent)
        return jsonRequest(HttpMethod.POST, "/v1/tasks", backendJson.encodeToString(message))
    }

    private fun connected(attempt: Attempt, connection: BackendConnection) {
        if (attempts[attempt.start.task] !== attempt) return
        attempt.connection = connection
        connection.requestSent()
        scheduleCheck(connection)
    }

    /** Schedules a check that pings a connection without traffic and closes an unresponsive one while it is in use. */
    private fun scheduleCheck(connection: BackendConnection) {
        if (connection.isCheckScheduled) return
        connection.isCheckScheduled = true
        val intervalMs = settings.pingIntervalMs / CHECKS_PER_PING
        eventLoop.schedule({ check(connection) }, intervalMs, TimeUnit.MILLISECONDS)
    }

    private fun check(connection: BackendConnection) {
        connection.isCheckScheduled = false
        if (!connection.isInUse) return
        val sinceLastRead = connection.timeSinceLastRead()
        if (sinceLastRead >= settings.silentAfterMs.milliseconds) {
            log.warn("backend: no data from {} for {}, closing the connection", address.id, sinceLastRead)
            observer.unresponsiveConnectionClosed()
            connection.abort()
            return
        }
        if (sinceLastRead >= settings.pingIntervalMs.milliseconds) connection.ping()
        scheduleCheck(connection)
    }

    private fun goAwayReceived(): Unit = onEventLoop { markLeaving() }

    private fun markLeaving() {
        if (leaving) return
        leaving = true
        log.info("backend: {} is leaving", address.id)
        sink.offer(Input.BackendLeaving(address.id))
    }

    private fun startEnded(attempt: Attempt, reply: AggregatedHttpResponse?, cause: Throwable?) {
        attempt.connection?.requestEnded()
        attempt.renewal?.cancel(false)
        when {
            reply != null -> replied(attempt, reply)
            isUnprocessed(cause) -> finish(attempt) { notStarted(it, NotStartedReason.NOT_DELIVERED, null) }
            else -> query(attempt, FIRST_QUERY_DELAY)
        }
    }

    private fun isUnprocessed(cause: Throwable?): Boolean =
        cause != null && Exceptions.peel(cause) is UnprocessedRequestException

    private fun replied(attempt: Attempt, reply: AggregatedHttpResponse) {
        recordBackendState(reply)
        // The task id was used before: this request started nothing, but an earlier one with the id may have run.
        if (reply.status() == HttpStatus.CONFLICT) {
            return lost(attempt, "the backend server has received the task before")
        }
        if (reply.headers().get(TASK_STARTED) == TASK_NOT_STARTED) {
            val reason = if (leaving) NotStartedReason.LEAVING else NotStartedReason.BUSY
            return finish(attempt) { notStarted(it, reason, usageOf(reply)) }
        }
        applyTaskState(attempt, reply) { query(attempt, FIRST_QUERY_DELAY) }
    }

    /** Ends [attempt] by the task state in [reply]; calls [onRunning] if the task has not ended. */
    private fun applyTaskState(attempt: Attempt, reply: AggregatedHttpResponse, onRunning: () -> Unit) {
        val message = messageOf(reply)
        val usage = usageOf(reply)
        when (message?.state) {
            ReportedState.DONE -> finish(attempt) { sink.offer(taskDone(it, message, usage)) }
            ReportedState.FAILED -> finish(attempt) { sink.offer(Input.TaskFailed(it, message.message, usage)) }
            ReportedState.RUNNING -> onRunning()
            null -> lost(attempt, "reply with status ${reply.status().code()} and no task state")
        }
    }

    private fun recordBackendState(reply: AggregatedHttpResponse) {
        val isLeaving = reply.headers().get(BACKEND_STATE) == LEAVING
        if (isLeaving) markLeaving() else leaving = false
        val incarnation = reply.headers().getLong(BACKEND_INCARNATION) ?: return
        observer.replied(BackendReply(address.id, incarnation, isLeaving))
    }

    /** Queries the state of a task whose reply is missing, over a new connection if the old one is closed. */
    private fun query(attempt: Attempt, delay: Duration) {
        if (attempts[attempt.start.task] !== attempt) return
        if (attempt.remaining <= Duration.ZERO) return lost(attempt, "no reply within the lease")
        if (attempt.queriedSince == null) attempt.queriedSince = TimeSource.Monotonic.markNow()
        observer.queried()
        val request = RequestHeaders.of(HttpMethod.GET, taskPath(attempt.start.task))
        client.execute(HttpRequest.of(request), responseTimeout(settings.silentAfterMs.milliseconds))
            .aggregate()
            .handle { reply, cause -> onEventLoop { lostOnError(attempt) { queried(attempt, delay, reply, cause) } } }
    }

    private fun queried(attempt: Attempt, delay: Duration, reply: AggregatedHttpResponse?, cause: Throwable?) {
        if (reply == null) return queryFailed(attempt, delay, Exceptions.peel(checkNotNull(cause)))
        recordBackendState(reply)
        if (reply.status() == HttpStatus.NOT_FOUND) {
            return lost(attempt, "no reply, and the backend server does not know the task")
        }
        applyTaskState(attempt, reply) { queryLater(attempt, delay) }
    }

    /** A refused connection means that the backend server crashed and lost its tasks; other errors can be transient. */
    private fun queryFailed(attempt: Attempt, delay: Duration, cause: Throwable) {
        val queriedFor = attempt.queriedSince?.elapsedNow() ?: Duration.ZERO
        if (!isRefused(cause) && queriedFor < settings.silentAfterMs.milliseconds) return queryLater(attempt, delay)
        lost(attempt, "no reply, and the query for the task state failed: $cause")
    }

    private fun isRefused(cause: Throwable): Boolean {
        val reason = if (cause is UnprocessedRequestException) cause.cause else cause
        return reason is ConnectException && reason !is ConnectTimeoutException
    }

    private fun queryLater(attempt: Attempt, delay: Duration) {
        val nextDelay = minOf(delay * 2, MAX_QUERY_DELAY)
        eventLoop.schedule({ query(attempt, nextDelay) }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun taskDone(task: TaskId, message: TaskMessage, usage: BackendUsage?): Input =
        Input.TaskDone(task, message.output, message.runMs.coerceAtLeast(0.0).milliseconds, usage)

    private fun lost(attempt: Attempt, message: String): Unit =
        finish(attempt) { task ->
            loggedWith(task.submission) { log.warn("backend: task {} on {} is lost: {}", task, address.id, message) }
            sink.offer(Input.TaskLost(task, message))
        }

    /** Ends an attempt. Every attempt ends here, so that the engine gets exactly one input for each start. */
    private fun finish(attempt: Attempt, report: (TaskId) -> Unit) {
        if (attempts.remove(attempt.start.task, attempt)) report(attempt.start.task)
    }

    private fun notStarted(task: TaskId, reason: NotStartedReason, usage: BackendUsage?) {
        observer.notStarted(reason)
        sink.offer(Input.TaskNotStarted(task, reason, usage))
    }

    private fun scheduleRenewal(attempt: Attempt) {
        val delayMs = settings.leaseMs / RENEWALS_PER_LEASE
        attempt.renewal = eventLoop.schedule({ renew(attempt) }, delayMs, TimeUnit.MILLISECONDS)
    }

    private fun renew(attempt: Attempt) {
        val remaining = attempt.remaining
        if (attempts[attempt.start.task] !== attempt || remaining <= Duration.ZERO) return
        val body = backendJson.encodeToString(LeaseMessage(leaseMs(remaining)))
        send(jsonRequest(HttpMethod.PUT, "${taskPath(attempt.start.task)}/lease", body))
        scheduleRenewal(attempt)
    }

    private fun sendStop(task: TaskId) {
        attempts[task]?.renewal?.cancel(false)
        send(jsonRequest(HttpMethod.POST, "${taskPath(task)}/stop", "{}"))
    }

    private fun send(request: HttpRequest): HttpResponse =
        client.execute(request, responseTimeout(settings.silentAfterMs.milliseconds)).also { it.aggregate() }

    private fun leaseMs(remaining: Duration): Long =
        remaining.inWholeMilliseconds.coerceIn(1, settings.leaseMs)

    private fun messageOf(reply: AggregatedHttpResponse): TaskMessage? {
        if (reply.status() != HttpStatus.OK) return null
        return try {
            backendJson.decodeFromString<TaskMessage>(reply.contentUtf8())
        } catch (e: SerializationException) {
            log.warn("backend: {} sent a malformed reply: {}", address.id, e.message)
            null
        }
    }

    private fun usageOf(reply: AggregatedHttpResponse): BackendUsage? {
        val busySlots = reply.headers().getInt(BUSY_SLOTS) ?: return null
        val slots = reply.headers().getInt(SLOTS) ?: return null
        return BackendUsage(busySlots, slots)
    }

    private fun onEventLoop(action: () -> Unit) {
        if (eventLoop.inEventLoop()) action() else eventLoop.execute(action)
    }

    private companion object {
        val log = LogManager.getLogger(BackendSession::class.java)
        const val BACKEND_STATE = "backend-state"
        const val BUSY_SLOTS = "busy-slots"
        const val SLOTS = "slots"
        const val BACKEND_INCARNATION = "backend-incarnation"
        const val TASK_STARTED = "task-started"
        const val LEAVING = "leaving"
        const val TASK_NOT_STARTED = "no"

        /** Time allowed for the reply of a task that ends just before its lease expires. */
        val REPLY_MARGIN = 500.milliseconds
        val FIRST_QUERY_DELAY = 50.milliseconds
        val MAX_QUERY_DELAY = 1_000.milliseconds
        const val CHECKS_PER_PING = 2L

        /** Two renewals in a row may be lost before a lease expires. */
        const val RENEWALS_PER_LEASE = 3L

        fun taskPath(task: TaskId): String = "/v1/tasks/${URLEncoder.encode(task.toString(), Charsets.UTF_8)}"

        fun jsonRequest(method: HttpMethod, path: String, body: String): HttpRequest {
            val headers = RequestHeaders.builder(method, path).contentType(MediaType.JSON).build()
            return HttpRequest.of(headers, HttpData.ofUtf8(body))
        }

        fun responseTimeout(timeout: Duration): RequestOptions =
            RequestOptions.builder().responseTimeoutMillis(timeout.inWholeMilliseconds.coerceAtLeast(1)).build()
    }
}
