package medlarroute.server

import com.linecorp.armeria.server.Server
import medlarroute.core.BackendId
import medlarroute.core.BackendServer
import medlarroute.core.BurnMeter
import medlarroute.core.Effect
import medlarroute.core.Engine
import medlarroute.core.FailureDomainId
import medlarroute.core.Incarnation
import medlarroute.core.Input
import medlarroute.core.InstanceId
import medlarroute.core.Job
import medlarroute.core.JobOutcome
import medlarroute.core.Rules
import medlarroute.core.Settings
import medlarroute.core.SubmissionId
import medlarroute.core.SubmissionRegistry
import medlarroute.core.SuccessorRecords
import org.apache.logging.log4j.LogManager
import java.net.InetSocketAddress
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** A backend server supplied by the embedding code, with the address on which it listens. */
public data class BackendEndpoint(public val server: BackendServer, public val host: String, public val port: Int)

/**
 * Result of [EntryInstance.drain].
 *
 * @property unfinishedJobs jobs that had no answer at the drain limit; 0 unless the limit was too short.
 * @property handedOver whether a successor instance has received the submission records.
 */
public data class DrainReport(public val unfinishedJobs: Int, public val handedOver: Boolean)

/**
 * An entry instance: serves callers and operators and runs tasks on backend servers.
 *
 * Without peers and platform, the embedding code supplies rules with [applyRules] and backend servers with
 * [addBackend]. The constructor throws [IllegalArgumentException] if the TLS settings or the token file can't be used.
 * Thread-safe; call [start] once, then [drain] once.
 */
public class EntryInstance internal constructor(
    private val settings: Settings,
    incarnation: Incarnation,
    createExtension: (InstanceParts) -> Extension,
) {
    private val identity = SubmissionRegistry.Home(
        FailureDomainId(settings.instance.failureDomain),
        InstanceId(settings.instance.id),
        incarnation,
    )
    private val state = AtomicReference(InstanceState.STARTING)
    private val metrics = Metrics()
    private val registry = SubmissionRegistry(identity, settings.registry)
    private val successors = SuccessorRecords(settings.registry)
    private val statusTracker = StatusTracker()
    private val endpoints = ConcurrentHashMap<BackendId, BackendAddress>()
    private val answerExecutor =
        Executors.newSingleThreadExecutor { Thread(it, "answers").apply { isDaemon = true } }
    private val loop = EngineLoop(Engine(settings.engine), ::applyEffects, settings.engine.maxOpenJobs, metrics)
    private val engineSink = EngineSink()
    private val limits = JobLimits(
        settings.engine.maxTasksPerJob,
        settings.callers.maxPayloadBytes,
        settings.engine.defaultTimeoutMs.milliseconds,
        settings.engine.maxTimeoutMs.milliseconds,
    )
    private val burnMeter = BurnMeter(settings.report.objectives, identity.instance, identity.incarnation)
    private val jobs = JobService(identity, registry, successors, engineSink, limits, JobOutcomeRecorder())
    private val extension =
        createExtension(InstanceParts(settings, identity, engineSink, registry, successors, jobs))
    private val backendClient =
        BackendClient(settings.backends, ::addressOf, engineSink, loop::elapsed, ReplyObserver())
    private val callerServer = callerServer()
    private val operatorServer = operatorServer()

    /** Creates an instance that connects to peers and the platform if the settings name either of them. */
    public constructor(settings: Settings) :
        this(settings, Incarnation(System.currentTimeMillis()), { PeerExtension.ofSettings(it) ?: Standalone() })

    /** Port for callers; available after [start]. */
    public val callerPort: Int get() = callerServer.activeLocalPort()

    /** Port for operators; available after [start]. */
    public val operatorPort: Int get() = operatorServer.activeLocalPort()

    init {
        metrics.gauge("medlarroute.engine.inbox") { loop.inboxDepth }
    }

    /** Starts serving; returns when both ports are bound, or throws if one of them can't be bound. */
    public fun start() {
        loop.start()
        operatorServer.start().join()
        extension.start()
        callerServer.start().join()
        state.set(InstanceState.SERVING)
        log.info("http: {} serves callers on port {}, operators on port {}", identity, callerPort, operatorPort)
    }

    /** Puts [rules] in force unless a newer version is in force. */
    public fun applyRules(rules: Rules): Unit = engineSink.offer(Input.RulesChanged(rules))

    /** Adds a backend server, or updates its address if it was added before. */
    public fun addBackend(backend: BackendEndpoint) {
        endpoints[backend.server.id] = BackendAddress(backend.server.id, backend.host, backend.port)
        engineSink.offer(Input.BackendServing(backend.server))
    }

    /**
     * Stops gracefully: refuses new jobs as not run, waits for running jobs to end, hands over the submission records,
     * waits for open requests to end and closes the ports. Running jobs have until the drain limit of the settings; the
     * hand-over and the shutdown can take some seconds longer.
     */
    public fun drain(): DrainReport {
        val startedAt = TimeSource.Monotonic.markNow()
        val remaining = { (settings.drain.limitMs.milliseconds - startedAt.elapsedNow()).coerceAtLeast(Duration.ZERO) }
        state.set(InstanceState.DRAINING)
        extension.drainStarted()
        val idle = jobs.drain()
        log.info("http: draining, {} jobs are running", jobs.openSubmissions)
        Thread.sleep(settings.drain.settleMs)
        awaitIdle(idle, remaining())
        val unfinishedJobs = jobs.openSubmissions
        val handedOver = extension.handOver(registry.export())
            .completeOnTimeout(false, (remaining() + SHUTDOWN_MARGIN).inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .join()
        stopServing(remaining())
        log.info("http: drained, {} jobs unfinished, records handed over: {}", unfinishedJobs, handedOver)
        return DrainReport(unfinishedJobs, handedOver)
    }

    private fun awaitIdle(idle: CompletableFuture<Unit>, limit: Duration) {
        try {
            idle.get(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            log.error("http: {} jobs have not ended within the drain limit", jobs.openSubmissions)
        }
    }

    /** Forwarded requests of callers must end before the engine and the connections to peers are stopped. */
    private fun stopServing(limit: Duration) {
        val stopped = callerServer.stop()
        stopped.orTimeout((limit + SHUTDOWN_MARGIN).inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .exceptionally { null }
            .join()
        CompletableFuture.allOf(CompletableFuture.runAsync(extension::stop), operatorServer.stop()).join()
        backendClient.close()
        loop.stop()
        answerExecutor.shutdown()
        state.set(InstanceState.STOPPED)
        metrics.close()
    }

    private fun callerServer(): Server {
        val api = CallerApi(
            settings.registry,
            limits,
            authentication(),
            registry,
            ::isHandledHere,
            jobs,
            extension.forwarder,
            extension.claims,
        )
        val builder = Server.builder()
            .bindCallers(InetSocketAddress(settings.callers.host, settings.callers.port), settings.callers.tls)
            .maxRequestLength(settings.callers.maxBodyBytes)
            .requestTimeoutMillis(settings.engine.maxTimeoutMs + READ_MARGIN_MS)
            .gracefulShutdownTimeoutMillis(QUIET_PERIOD_MS, settings.drain.limitMs)
        api.addTo(builder)
        return builder.build()
    }

    private fun authentication(): CallerAuthentication {
        val tokensFile = settings.callers.tokensFile
        if (tokensFile.isNotEmpty()) return CallerAuthentication.byTokens(Path.of(tokensFile))
        log.warn("http: no token file is set, callers are not authenticated")
        return CallerAuthentication.byName()
    }

    private fun operatorServer(): Server {
        val api = OperatorApi(metrics.registry, loop::isAlive, ::status, extension::addOperatorServices)
        val builder = Server.builder().http(InetSocketAddress(settings.operators.host, settings.operators.port))
        api.addTo(builder)
        builder.service(BurnReportService.PATH, BurnReportService(burnMeter))
        return builder.build()
    }

    private fun status() =
        InstanceStatus(
            instance = identity.instance.value,
            failureDomain = identity.failureDomain.value,
            incarnation = identity.incarnation.toString(),
            state = state.get(),
            notReady = notReady(),
            rulesVersion = statusTracker.rulesVersion,
            openJobs = jobs.openSubmissions,
            inboxDepth = loop.inboxDepth,
            backends = statusTracker.backends(),
            replayedHomes = successors.homes().map { "${it.failureDomain}.${it.instance}.${it.incarnation}" },
            peers = extension.status(),
        )

    private fun notReady(): List<String> {
        val reasons = ArrayList<String>()
        if (state.get() != InstanceState.SERVING) reasons += "the instance is ${state.get().name.lowercase()}"
        if (statusTracker.rulesVersion == null) reasons += "no rules yet"
        return reasons + extension.notReadyReasons()
    }

    private fun isHandledHere(submission: SubmissionId): Boolean {
        val home = submission.ticket.home
        return home == identity || home in successors.homes()
    }

    private fun addressOf(id: BackendId): BackendAddress? = endpoints[id] ?: extension.addresses.addressOf(id)

    /** Called on the engine thread, so answers are recorded and encoded on another thread. */
    private fun applyEffects(effects: List<Effect>) {
        for (effect in effects) {
            when (effect) {
                is Effect.Start -> backendClient.start(effect)
                is Effect.Stop -> backendClient.stop(effect)
                is Effect.Answered -> answerExecutor.execute { answered(effect) }
            }
        }
    }

    private fun answered(effect: Effect.Answered) {
        log.answered(effect.submission, effect.answer)
        jobs.answered(effect.submission, effect.answer)
    }

    /** Passes inputs to the engine and records what status and metrics report about them. */
    private inner class EngineSink :
        JobService.JobSink,
        InputSink {
        override fun submit(job: Job): Boolean {
            extension.jobSubmitted(job)
            return loop.submit(job)
        }

        override fun offer(input: Input) {
            statusTracker.record(input)
            TaskReply.ofOrNull(input)?.let(jobs::taskEnded)
            loop.offer(input)
        }
    }

    private inner class JobOutcomeRecorder : JobRecorder by metrics {
        override fun ended(record: JobRecord) {
            metrics.ended(record)
            burnMeter.answered(JobOutcome.of(record.job.caller, record.job.kind, record.elapsed, record.answer))
        }
    }

    private inner class ReplyObserver : BackendObserver by metrics {
        override fun replied(reply: BackendReply): Unit = extension.backendReplied(reply)
    }

    private companion object {
        val log = LogManager.getLogger(EntryInstance::class.java)

        /** Time to read the request body, which the timeout of the job does not include. */
        const val READ_MARGIN_MS = 5_000L

        /** Requests that arrive on open connections right before the shutdown are still served. */
        const val QUIET_PERIOD_MS = 200L
        val SHUTDOWN_MARGIN = 5_000.milliseconds
    }
}
