package medlarroute.lab

import com.linecorp.armeria.client.ClientFactory
import org.HdrHistogram.ConcurrentHistogram
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Open-loop load of callers on entry instances: jobs arrive at their planned times, whether earlier ones are answered
 * or not. A request without an answer is sent again, with the same id, to another entry instance.
 *
 * @param record file that gets one line for each submission and answer; see [LoadRecord].
 */
class LoadTool(private val settings: LoadSettings, record: Path) : AutoCloseable {
    private inner class Submission(
        val job: PlannedJob,
        val sent: LoadRecord.Submitted,
        val arrival: TimeSource.Monotonic.ValueTimeMark,
    ) {
        val request = JobRequest(KIND, settings.deadlineMs, job.idempotent, job.payloads.map { JobRequest.Task(it) })

        val isAnswered: Boolean get() = outcomes.containsKey(job.number)
    }

    private val lines = JsonLinesWriter(record, LoadRecord.serializer())
    private val factory = ClientFactory.builder()
        .connectTimeoutMillis(CONNECT_TIMEOUT_MS)
        .http2GracefulShutdownTimeoutMillis(0)
        .build()
    private val clients = settings.entries.map { CallerClient(it, factory, settings.deadlineMs + RESPONSE_MARGIN_MS) }
    private val timer: ScheduledExecutorService =
        Executors.newSingleThreadScheduledExecutor { task -> Thread(task, "load-timer").apply { isDaemon = true } }
    private val random = Random(settings.seed + 1)
    private val tickets = TicketPool(settings.ticketsPerCaller) { openTicket(it, settings.attempts) }
    private val outcomes = ConcurrentHashMap<Int, LoadOutcome>()
    private val codes = ConcurrentHashMap<String, AtomicInteger>()
    private val latencies = ConcurrentHistogram(LONGEST_US, HISTOGRAM_DIGITS)

    /** Sends all jobs and waits for their answers. Call once. */
    fun run(): LoadReport {
        val start = TimeSource.Monotonic.markNow()
        val open = ArrayList<CompletableFuture<*>>()
        for (job in planLoad(settings)) {
            if (job.arrivalMs > settings.maxDurationMs) break
            val arrival = start + job.arrivalMs.milliseconds
            val waitMs = (-arrival.elapsedNow()).inWholeMilliseconds
            if (waitMs > 0) Thread.sleep(waitMs)
            open.add(begin(job, arrival))
        }
        CompletableFuture.allOf(*open.toTypedArray()).join()
        val counts = outcomes.values.groupingBy { it }.eachCount()
        return LoadReport(counts, codes.mapValues { it.value.get() }, latencies)
    }

    override fun close() {
        timer.shutdownNow()
        factory.close()
        lines.close()
    }

    private fun begin(job: PlannedJob, arrival: TimeSource.Monotonic.ValueTimeMark): CompletableFuture<*> =
        tickets.nextSubmission(job.caller).handle { id, failure ->
            if (failure != null) {
                outcomes[job.number] = LoadOutcome.NOT_SENT
                return@handle CompletableFuture.completedFuture(Unit)
            }
            val sent = LoadRecord.Submitted(id, System.currentTimeMillis(), job.caller, job.idempotent, job.payloads)
            lines.write(sent)
            send(Submission(job, sent, arrival))
        }.thenCompose { it }

    private fun send(submission: Submission): CompletableFuture<Unit> {
        val first = attempt(submission, settings.attempts, avoid = null)
        val resubmitted = submission.job.resubmitAfterMs?.let { delayMs ->
            after(delayMs) { attempt(submission, 1, avoid = null, isExtra = true) }
        }
        submission.job.cancelAfterMs?.let { delayMs -> after(delayMs) { cancel(submission) } }
        return (resubmitted ?: CompletableFuture.completedFuture(Unit)).thenCombine(first) { _, _ -> }
    }

    /** Sends one copy; while there is no answer, further copies go to other entry instances. */
    private fun attempt(
        submission: Submission,
        attemptsLeft: Int,
        avoid: CallerClient?,
        isExtra: Boolean = false,
    ): CompletableFuture<Unit> {
        val client = choose(avoid)
        val id = submission.sent.submission
        return client.submit(submission.job.caller, id, submission.request).handle { reply, failure ->
            val status = reply?.second?.answerStatus()
            when {
                status != null -> CompletableFuture.completedFuture(answered(submission, client, reply, status))
                isExtra -> CompletableFuture.completedFuture(Unit)
                attemptsLeft > 1 -> after(RETRY_DELAY_MS) { attempt(submission, attemptsLeft - 1, client) }
                else -> CompletableFuture.completedFuture(missing(submission, failure))
            }
        }.thenCompose { it }
    }

    private fun answered(
        submission: Submission,
        client: CallerClient,
        reply: Pair<Int, JobReply>,
        status: AnswerStatus,
    ) {
        val (httpStatus, body) = reply
        val id = submission.sent.submission
        val answer = LoadRecord.Answered(
            id,
            System.currentTimeMillis(),
            client.entry,
            httpStatus,
            status,
            body.submission,
            body.reason(),
            body.results,
        )
        lines.write(answer)
        if (body.reason() in TICKET_ENDS) tickets.retire(submission.job.caller, id)
        val outcome = outcomeOf(submission, answer)
        val previous = outcomes.putIfAbsent(submission.job.number, outcome)
        if (previous == null) count(submission, answer, outcome)
        // A wrong copy of the answer counts even if another copy was right.
        if (outcome == LoadOutcome.WRONG) outcomes[submission.job.number] = outcome
    }

    private fun count(submission: Submission, answer: LoadRecord.Answered, outcome: LoadOutcome) {
        if (answer.code.isNotEmpty()) codes.computeIfAbsent(answer.code) { AtomicInteger() }.incrementAndGet()
        val us = submission.arrival.elapsedNow().inWholeMicroseconds
        if (outcome == LoadOutcome.COMPLETE) latencies.recordValue(us.coerceIn(1, LONGEST_US))
    }

    private fun outcomeOf(submission: Submission, answer: LoadRecord.Answered): LoadOutcome =
        when {
            defectOf(submission.sent, answer) { null } != null -> LoadOutcome.WRONG
            answer.status == AnswerStatus.COMPLETE -> LoadOutcome.COMPLETE
            answer.status == AnswerStatus.FAILED -> LoadOutcome.FAILED
            else -> LoadOutcome.REFUSED
        }

    private fun missing(submission: Submission, failure: Throwable?) {
        if (outcomes.putIfAbsent(submission.job.number, LoadOutcome.MISSING) != null) return
        val reason = failure?.toString() ?: "no final answer"
        lines.write(LoadRecord.Missing(submission.sent.submission, System.currentTimeMillis(), reason))
    }

    private fun cancel(submission: Submission): CompletableFuture<Unit> =
        if (submission.isAnswered) {
            CompletableFuture.completedFuture(Unit)
        } else {
            choose(null).cancel(submission.job.caller, submission.sent.submission).handle { _, _ -> }
        }

    private fun openTicket(caller: String, attemptsLeft: Int, avoid: CallerClient? = null): CompletableFuture<String> {
        val client = choose(avoid)
        return client.openTicket(caller).handle { ticket, failure ->
            when {
                failure == null -> CompletableFuture.completedFuture(ticket)
                attemptsLeft > 1 -> after(RETRY_DELAY_MS) { openTicket(caller, attemptsLeft - 1, client) }
                else -> CompletableFuture.failedFuture(failure)
            }
        }.thenCompose { it }
    }

    private fun choose(avoid: CallerClient?): CallerClient {
        val others = clients.filter { it !== avoid }.ifEmpty { clients }
        return synchronized(random) { others.random(random) }
    }

    private fun <T> after(delayMs: Long, action: () -> CompletableFuture<T>): CompletableFuture<T> {
        val delayed = CompletableFuture<Unit>()
        timer.schedule({ delayed.complete(Unit) }, delayMs, MILLISECONDS)
        return delayed.thenCompose { action() }
    }

    private companion object {
        const val KIND = "load"
        const val CONNECT_TIMEOUT_MS = 1_000L
        const val RESPONSE_MARGIN_MS = 2_000L
        const val RETRY_DELAY_MS = 200L
        const val LONGEST_US = 600_000_000L
        const val HISTOGRAM_DIGITS = 3

        /** Codes after which a caller gets nowhere with the same ticket. */
        val TICKET_ENDS =
            setOf("HOME_LOST", "ANSWER_EXPIRED", "DRAINING", "TICKET_CLOSED", "UNKNOWN_TICKET", "NO_RULES")
    }
}
