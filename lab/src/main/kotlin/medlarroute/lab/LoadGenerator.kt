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
class LoadGenerator(private val settings: LoadSettings, record: Path) : AutoCloseable {
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
    private val tickets = TicketPool(settings.ticketsPerCaller) { openTicket(it) }
    private val outcomes = ConcurrentHashMap<Int, LoadOutcome>()
    private val codes = ConcurrentHashMap<String, AtomicInteger>()
    private val replayable = ArrayDeque<Submission>()
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
        return LoadReport(counts, codes.mapValues { it.value.get() }, latencies, replay())
    }

    override fun close() {
        timer.shutdownNow()
        factory.close()
        lines.close()
    }

    private fun replay(): Map<LoadOutcome, Int> {
        val chosen = synchronized(replayable) { replayable.toList() }
        val answers = chosen.map { ask(it, settings.attempts).thenApply { answer -> replayed(it, answer) } }
        return answers.map { it.join() }.groupingBy { it }.eachCount()
    }

    private fun replayed(submission: Submission, answer: LoadRecord.Answered?): LoadOutcome {
        if (answer == null) return LoadOutcome.MISSING
        lines.write(answer.copy(isReplay = true))
        return outcomeOf(submission, answer)
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
        val first = ask(submission, settings.attempts).thenApply { answered(submission, it) ?: missing(submission) }
        val resubmitted = submission.job.resubmitAfterMs?.let { delayMs ->
            after(delayMs) { ask(submission, 1).thenApply { answered(submission, it) } }
        }
        submission.job.cancelAfterMs?.let { delayMs -> after(delayMs) { cancel(submission) } }
        return (resubmitted ?: CompletableFuture.completedFuture(Unit)).thenCombine(first) { _, _ -> }
    }

    /** Sends copies of the request, one after the other to different entry instances, until one is answered. */
    private fun ask(submission: Submission, attempts: Int): CompletableFuture<LoadRecord.Answered?> =
        untilAnswered(attempts) { client ->
            val id = submission.sent.submission
            client.submit(submission.job.caller, id, submission.request).thenApply { (httpStatus, reply) ->
                reply.answerStatus()?.let { answerOf(id, client, httpStatus, reply, it) }
            }
        }

    private fun answered(submission: Submission, answer: LoadRecord.Answered?): Unit? {
        if (answer == null) return null
        lines.write(answer)
        if (answer.code in TICKET_ENDS) tickets.retire(submission.job.caller, answer.submission)
        val outcome = outcomeOf(submission, answer)
        val previous = outcomes.putIfAbsent(submission.job.number, outcome)
        if (previous == null) count(submission, answer, outcome)
        // A wrong copy of the answer counts even if another copy was right.
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
            code = reply.reason(),
            detail = reply.detail,
            results = reply.results,
        )

    private fun count(submission: Submission, answer: LoadRecord.Answered, outcome: LoadOutcome) {
        if (answer.code.isNotEmpty()) codes.computeIfAbsent(answer.code) { AtomicInteger() }.incrementAndGet()
        if (outcome != LoadOutcome.COMPLETE) return
        synchronized(replayable) {
            replayable.addLast(submission)
            if (replayable.size > settings.replays) replayable.removeFirst()
        }
        val us = submission.arrival.elapsedNow().inWholeMicroseconds
        latencies.recordValue(us.coerceIn(1, LONGEST_US))
    }

    private fun outcomeOf(submission: Submission, answer: LoadRecord.Answered): LoadOutcome =
        when {
            defectOf(submission.sent, answer) { null } != null -> LoadOutcome.WRONG
            answer.status == AnswerStatus.COMPLETE -> LoadOutcome.COMPLETE
            answer.status == AnswerStatus.FAILED -> LoadOutcome.FAILED
            else -> LoadOutcome.REFUSED
        }

    private fun missing(submission: Submission) {
        if (outcomes.putIfAbsent(submission.job.number, LoadOutcome.MISSING) != null) return
        val reason = "no answer to ${settings.attempts} copies"
        lines.write(LoadRecord.Missing(submission.sent.submission, System.currentTimeMillis(), reason))
    }

    private fun cancel(submission: Submission): CompletableFuture<Unit> =
        if (submission.isAnswered) {
            CompletableFuture.completedFuture(Unit)
        } else {
            choose(null).cancel(submission.job.caller, submission.sent.submission).handle { _, _ -> }
        }

    private fun openTicket(caller: String): CompletableFuture<String> =
        untilAnswered<String>(settings.attempts) { client -> client.openTicket(caller).thenApply { it } }
            .thenApply { checkNotNull(it) { "no entry instance opens a ticket" } }

    /** Calls [request] with one entry instance after the other until it gives a value; null if none did. */
    private fun <T : Any> untilAnswered(
        attempts: Int,
        avoid: CallerClient? = null,
        request: (CallerClient) -> CompletableFuture<T?>,
    ): CompletableFuture<T?> {
        val client = choose(avoid)
        return request(client).handle { value, _ -> value }.thenCompose { value ->
            if (value != null || attempts <= 1) {
                CompletableFuture.completedFuture(value)
            } else {
                after(RETRY_DELAY_MS) { untilAnswered(attempts - 1, client, request) }
            }
        }
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
