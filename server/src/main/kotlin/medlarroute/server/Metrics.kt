package medlarroute.server

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import medlarroute.core.Answer
import medlarroute.core.CallerId
import medlarroute.core.NotStartedReason
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** Metrics of one entry instance; `docs/metrics.md` lists them. Thread-safe. */
internal class Metrics :
    JobRecorder,
    BackendObserver,
    EngineLoop.TickObserver,
    AutoCloseable {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    private val callers = LabelValues()
    private val kinds = LabelValues()
    private val starts = registry.counter("medlarroute.tasks.started")
    private val notStarted = NotStartedReason.entries.associateWith { reason ->
        registry.counter("medlarroute.tasks.not.started", "reason", reason.name.lowercase())
    }
    private val queries = registry.counter("medlarroute.tasks.queried")
    private val unresponsiveConnections = registry.counter("medlarroute.backend.connections.silent")
    private val usefulMessages = registry.counter("medlarroute.messages", "use", "useful")
    private val wastedMessages = registry.counter("medlarroute.messages", "use", "wasted")
    private val addedLatency = timer("medlarroute.job.added.latency")
    private val ticks = timer("medlarroute.engine.tick")
    private val gc = JvmGcMetrics()

    @Volatile
    private var openJobs = 0

    init {
        gauge("medlarroute.engine.open.jobs") { openJobs }
        JvmMemoryMetrics().bindTo(registry)
        ProcessorMetrics().bindTo(registry)
        gc.bindTo(registry)
    }

    /** Registers a gauge that calls [value] at each scrape. */
    fun gauge(name: String, value: () -> Number) {
        Gauge.builder(name, value).register(registry)
    }

    override fun ended(record: JobRecord) {
        val outcome = outcomeOf(record.answer)
        val kind = kinds.of(record.job.kind.value)
        jobs(record.job.caller, kind, outcome).increment()
        Timer.builder("medlarroute.job.time").tag("outcome", outcome).publishPercentileHistogram().register(registry)
            .record(record.elapsed.toJavaDuration())
        countMessages(record)
    }

    private fun countMessages(record: JobRecord) {
        if (record.answer !is Answer.Complete) return wastedMessages.increment(record.messages.toDouble())
        val useful = minOf(MESSAGES_PER_TASK * record.job.tasks.size, record.messages)
        usefulMessages.increment(useful.toDouble())
        wastedMessages.increment((record.messages - useful).toDouble())
        addedLatency.record((record.elapsed - record.longestRun).coerceAtLeast(Duration.ZERO).toJavaDuration())
    }

    override fun malformed(caller: CallerId): Unit = jobs(caller, kind = "unknown", outcome = "malformed").increment()

    override fun lateMessages(messages: Int): Unit = wastedMessages.increment(messages.toDouble())

    override fun started(): Unit = starts.increment()

    override fun notStarted(reason: NotStartedReason): Unit = notStarted.getValue(reason).increment()

    override fun replied(reply: BackendReply): Unit = Unit

    override fun queried(): Unit = queries.increment()

    override fun unresponsiveConnectionClosed(): Unit = unresponsiveConnections.increment()

    override fun ticked(duration: Duration, openJobs: Int) {
        ticks.record(duration.toJavaDuration())
        this.openJobs = openJobs
    }

    override fun close() {
        gc.close()
        registry.close()
    }

    private fun jobs(caller: CallerId, kind: String, outcome: String): Counter =
        registry.counter("medlarroute.jobs", "caller", callers.of(caller.value), "kind", kind, "outcome", outcome)

    private fun timer(name: String): Timer = Timer.builder(name).publishPercentileHistogram().register(registry)

    private fun outcomeOf(answer: Answer): String =
        when (answer) {
            is Answer.Complete -> "complete"
            is Answer.Failed -> answer.code.name.lowercase()
            is Answer.Refused -> "refused_${answer.findings.first().code.name.lowercase()}"
        }

    /** Limits the values of a label that callers choose, since each value adds time series and their memory. */
    private class LabelValues {
        private val known = ConcurrentHashMap.newKeySet<String>()

        fun of(value: String): String =
            when {
                value in known -> value
                known.size >= MAX_VALUES -> "other"
                else -> value.also(known::add)
            }
    }

    private companion object {
        /** A start and its reply. */
        const val MESSAGES_PER_TASK = 2
        const val MAX_VALUES = 100
    }
}
