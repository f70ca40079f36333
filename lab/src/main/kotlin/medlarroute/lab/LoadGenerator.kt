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
 * Open-loop load generator that acts as the callers of entry instances: jobs are sent at their planned arrival times,
 * whether or not earlier ones have been answered. A request without an answer is retried with the same submission id at
 * another entry instance.
 *
 * @param record file that gets a [LoadRecord] for each submission and answer.
 */
class LoadGenerator(private val settings: LoadSettings, record: Path) : AutoCloseable {
    private inner class Submission(
        val job: PlannedJob,
        val sent: LoadRecord.Submitted,
        val arrival: TimeSource.Monotonic.ValueTimeMark,
    ) {
        val request = JobRequest(KIND, settings.deadlineMs, job.idempotent, job.payloads.map { JobRequest.Task(it) })

        val isAnswered: Boolean get() = outcomes.containsKey(job.number)
    }

    private val recordWriter = JsonLinesWriter(record, LoadRecord.serializer())
    private val factory = ClientFactory.builder()
        .connectTimeoutMillis(CONNECT_TIMEOUT_MS)
        .http2GracefulShutdownTimeoutMillis(0)
        .build()
    private val clients = settings.entries.map { CallerClient(it, factory, settings.deadlineMs + RESPONSE_MARGIN_MS) }
    private val timer: ScheduledExecutorService =
        Executors.newSingleThreadScheduledExecutor { task -> Thread(task, "load-timer").apply { isDaemon = true } }
    private val random = Random(settings.seed + 1)
    private val tickets = TicketPool(settings.ticketsPerCaller) { openTicket(it) }
    private val outcomes = ConcurrentHashMap<Int, LoadOutcome>()
    private val codes = ConcurrentHashMap<String, AtomicInteger>()
    private val replayable = ArrayDeque<Submission>()
    private val latencies = ConcurrentHistogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    /** Sends all jobs and waits for their answers. Must be called only once. */
    fun run(): LoadReport {
        val start = TimeSource.Monotonic.markNow()
        val pending = ArrayList<CompletableFuture<*>>()
        for (job in planLoad(settings)) {
            if (job.arrivalMs > settings.maxDurationMs) break
            val arrival = start + job.arrivalMs.milliseconds
            val waitMs = (-arrival.elapsedNow()).inWholeMilliseconds
            if (waitMs > 0) Thread.sleep(waitMs)
            pending.add(startJob(job, arrival))
        }
        CompletableFuture.allOf(*pending.toTypedArray()).join()
        val counts = outcomes.values.groupingBy { it }.eachCount()
        return LoadReport(counts, codes.mapValues { it.value.get() }, latencies, replay())
    }

    override fun close() {
        timer.shutdownNow()
        factory.close()
        recordWriter.close()
    }

    /** Sends the latest complete submissions again, which must return the same answers. */
    private fun replay(): Map<LoadOutcome, Int> {
        val submissions = synchronized(replayable) { replayable.toList() }
        val replayed =
            submissions.map {
                submitWithRetries(it, settings.attempts).thenApply { answer -> recordReplay(it, answer) }
            }
        return replayed.map { it.join() }.groupingBy { it }.eachCount()
    }

    private fun recordReplay(submission: Submission, answer: LoadRecord.Answered?): LoadOutcome {
        if (answer == null) return LoadOutcome.MISSING
        recordWriter.write(answer.copy(isReplay = true))
        return outcomeOf(submission, answer)
    }

    private fun startJob(job: PlannedJob, arrival: TimeSource.Monotonic.ValueTimeMark): CompletableFuture<*> =
        tickets.nextSubmission(job.caller).handle { id, failure ->
            if (failure != null) {
                outcomes[job.number] = LoadOutcome.NOT_SENT
                return@handle CompletableFuture.completedFuture(Unit)
            }
            val sent = LoadRecord.Submitted(id, System.currentTimeMillis(), job.caller, job.idempotent, job.payloads)
            recordWriter.write(sent)
            send(Submission(job, sent, arrival))
        }.thenCompose { it }

    private fun send(submission: Submission): CompletableFuture<Unit> {
        val first = submitWithRetries(submission, settings.attempts)
            .thenApply { recordAnswer(submission, it) ?: recordMissing(submission) }
        val resubmitted = submission.job.resubmitAfterMs?.let { delayMs ->
            schedule(delayMs) { submitWithRetries(submission, attempts = 1).thenApply { recordAnswer(submission, it) } }
        }
        submission.job.cancelAfterMs?.let { delayMs -> schedule(delayMs) { cancel(submission) } }
        return (resubmitted ?: CompletableFuture.completedFuture(Unit)).thenCombine(first) { _, _ -> }
    }

    /** Sends the request up to [attempts] times until it is answered; null if it is not. */
    private fun submitWithRetries(submission: Submission, attempts: Int): CompletableFuture<LoadRecord.Answered?> =
        retryAcrossEntries(attempts) { client ->
            val id = submission.sent.submission
            client.submit(submission.job.caller, id, submission.request).thenApply { (httpStatus, reply) ->
                reply.answerStatus()?.let { answerOf(id, client, httpStatus, reply, it) }
            }
        }

    /** Records [answer] and its outcome. Returns null if there is no answer. */
    private fun recordAnswer(submission: Submission, answer: LoadRecord.Answered?): Unit? {
        if (answer == null) return null
        recordWriter.write(answer)
        if (answer.code in UNUSABLE_TICKET_CODES) tickets.retire(submission.job.caller, answer.submission)
        val outcome = outcomeOf(submission, answer)
        val previous = outcomes.putIfAbsent(submission.job.number, outcome)
        if (previous == null) recordOutcome(submission, answer, outcome)
        // A wrong answer to any copy of the request counts, even if another copy got the correct one.
        if (outcome == LoadOutcome.WRONG) outcomes[submission.job.number] = outcome
        return Unit
    }

    private fun answerOf(id: String, client: CallerClient, httpStatus: Int, reply: JobReply, status: AnswerStatus) =
        LoadRecord.Answered(
            submission = id,
            timeMs = System.currentTimeMillis(),
            entry = client.entry,
            httpStatus = httpStatus,
            status = status,
            answeredSubmission = reply.submission,
            code = reply.failureCode(),
            detail = reply.detail,
            results = reply.results,
        )

    private fun recordOutcome(submission: Submission, answer: LoadRecord.Answered, outcome: LoadOutcome) {
        if (answer.code.isNotEmpty()) codes.computeIfAbsent(answer.code) { AtomicInteger() }.incrementAndGet()
        if (outcome != LoadOutcome.COMPLETE) return
        synchronized(replayable) {
            replayable.addLast(submission)
            if (replayable.size > settings.replays) replayable.removeFirst()
        }
        val us = submission.arrival.elapsedNow().inWholeMicroseconds
        latencies.recordValue(us.coerceIn(1, MAX_LATENCY_US))
    }

    private fun outcomeOf(submission: Submission, answer: LoadRecord.Answered): LoadOutcome =
        when {
            findDefect(submission.sent, answer) { null } != null -> LoadOutcome.WRONG
            answer.status == AnswerStatus.COMPLETE -> LoadOutcome.COMPLETE
            answer.status == AnswerStatus.FAILED -> LoadOutcome.FAILED
            else -> LoadOutcome.REFUSED
        }

    private fun recordMissing(submission: Submission) {
        if (outcomes.putIfAbsent(submission.job.number, LoadOutcome.MISSING) != null) return
        val reason = "no answer after ${settings.attempts} attempts"
        recordWriter.write(LoadRecord.Missing(submission.sent.submission, System.currentTimeMillis(), reason))
    }

    private fun cancel(submission: Submission): CompletableFuture<Unit> =
        if (submission.isAnswered) {
            CompletableFuture.completedFuture(Unit)
        } else {
            pickEntry(avoid = null).cancel(submission.job.caller, submission.sent.submission).handle { _, _ -> }
        }

    private fun openTicket(caller: String): CompletableFuture<String> =
        retryAcrossEntries<String>(settings.attempts) { client -> client.openTicket(caller).thenApply { it } }
            .thenApply { checkNotNull(it) { "no entry instance opened a ticket" } }

    /**
     * Calls [request] up to [attempts] times until it returns a value; null if it does not. No attempt uses the same
     * entry instance as the one before it, if there is another.
     */
    private fun <T : Any> retryAcrossEntries(
        attempts: Int,
        avoid: CallerClient? = null,
        request: (CallerClient) -> CompletableFuture<T?>,
    ): CompletableFuture<T?> {
        val client = pickEntry(avoid)
        return request(client).handle { value, _ -> value }.thenCompose { value ->
            if (value != null || attempts <= 1) {
                CompletableFuture.completedFuture(value)
            } else {
                schedule(RETRY_DELAY_MS) { retryAcrossEntries(attempts - 1, client, request) }
            }
        }
    }

    private fun pickEntry(avoid: CallerClient?): CallerClient {
        val others = clients.filter { it !== avoid }.ifEmpty { clients }
        return synchronized(random) { others.random(random) }
    }

    private fun <T> schedule(delayMs: Long, action: () -> CompletableFuture<T>): CompletableFuture<T> {
        val delayed = CompletableFuture<Unit>()
        timer.schedule({ delayed.complete(Unit) }, delayMs, MILLISECONDS)
        return delayed.thenCompose { action() }
    }

    private companion object {
        const val KIND = "load"
        const val CONNECT_TIMEOUT_MS = 1_000L
        const val RESPONSE_MARGIN_MS = 2_000L
        const val RETRY_DELAY_MS = 200L
        const val MAX_LATENCY_US = 600_000_000L
        const val SIGNIFICANT_DIGITS = 3

        /** Codes after which further submissions with the same ticket would fail, too. */
        val UNUSABLE_TICKET_CODES =
            setOf("HOME_LOST", "ANSWER_EXPIRED", "DRAINING", "TICKET_CLOSED", "UNKNOWN_TICKET", "NO_RULES")
    }
}
