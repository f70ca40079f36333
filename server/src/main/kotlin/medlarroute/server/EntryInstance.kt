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

/** A backend server that the embedding code supplies, with the address where it listens. */
public data class BackendEndpoint(public val server: BackendServer, public val host: String, public val port: Int)

/**
 * How a drain ended.
 *
 * @property unfinishedJobs jobs that had no answer at the drain limit; 0 unless the limit was too short.
 * @property handedOver whether a successor has the records.
 */
public data class DrainReport(public val unfinishedJobs: Int, public val handedOver: Boolean)

/**
 * One entry instance: serves callers and operators and runs tasks on backend servers.
 *
 * Without peers and platform, the embedding code supplies rules with [applyRules] and backend servers with
 * [addBackend]. Constructing it throws [IllegalArgumentException] if the settings of TLS or the token file can't be
 * used. Thread-safe; [start] is called once, then [drain] once.
 */
public class EntryInstance internal constructor(
    private val settings: Settings,
    incarnation: Incarnation,
    extend: (InstanceParts) -> Extension,
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
    private val known = KnownState()
    private val endpoints = ConcurrentHashMap<BackendId, BackendAddress>()
    private val answers = Executors.newSingleThreadExecutor { Thread(it, "answers").apply { isDaemon = true } }
    private val loop = EngineLoop(Engine(settings.engine), ::carryOut, settings.engine.maxOpenJobs, metrics)
    private val engineSink = EngineSink()
    private val limits = JobLimits(
        settings.engine.maxTasksPerJob,
        settings.callers.maxPayloadBytes,
        settings.engine.defaultTimeoutMs.milliseconds,
        settings.engine.maxTimeoutMs.milliseconds,
    )
    private val burn = BurnMeter(settings.report.objectives, identity.instance, identity.incarnation)
    private val jobs = JobService(identity, registry, successors, engineSink, limits, Recorder())
    private val extension =
        extend(InstanceParts(settings, identity, engineSink, registry, successors, jobs))
    private val backends =
        BackendClient(settings.backends, ::addressOf, engineSink, loop::elapsed, Replies())
    private val callerServer = callerServer()
    private val operatorServer = operatorServer()

    /** An instance with peers and platform if the settings name the platform or peers, else without. */
    public constructor(settings: Settings) :
        this(settings, Incarnation(System.currentTimeMillis()), { PeerExtension.ofSettings(it) ?: Standalone() })

    /** Port that serves callers; known after [start]. */
    public val callerPort: Int get() = callerServer.activeLocalPort()

    /** Port that serves operators; known after [start]. */
    public val operatorPort: Int get() = operatorServer.activeLocalPort()

    init {
        metrics.gauge("medlarroute.engine.inbox") { loop.inboxDepth }
    }

    /** Starts serving; returns when both ports are bound. Throws if one can't be. */
    public fun start() {
        loop.start()
        operatorServer.start().join()
        extension.start()
        callerServer.start().join()
        state.set(InstanceState.SERVING)
        log.info("http: {} serves callers on port {}, operators on port {}", identity, callerPort, operatorPort)
    }

    /** Puts rules in force, unless newer ones are. */
    public fun applyRules(rules: Rules): Unit = engineSink.offer(Input.RulesChanged(rules))

    /** Makes a backend server known, or known again at another address. */
    public fun addBackend(backend: BackendEndpoint) {
        endpoints[backend.server.id] = BackendAddress(backend.server.id, backend.host, backend.port)
        engineSink.offer(Input.BackendServing(backend.server))
    }

    /**
     * Stops gracefully: refuses new jobs as not run, lets running jobs and open requests end, hands over the records
     * and closes the ports. Waits for all that, for the drain limit of the settings at most.
     */
    public fun drain(): DrainReport {
        val begunAt = TimeSource.Monotonic.markNow()
        val remaining = { (settings.drain.limitMs.milliseconds - begunAt.elapsedNow()).coerceAtLeast(Duration.ZERO) }
        state.set(InstanceState.DRAINING)
        extension.drainBegun()
        val idle = jobs.drain()
        log.info("http: draining, {} jobs are running", jobs.openSubmissions)
        Thread.sleep(settings.drain.settleMs)
        waitFor(idle, remaining())
        val unfinishedJobs = jobs.openSubmissions
        val handedOver = extension.handOver(registry.export())
            .completeOnTimeout(false, (remaining() + SHUTDOWN_MARGIN).inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .join()
        stopServing(remaining())
        log.info("http: drained, {} jobs unfinished, records handed over: {}", unfinishedJobs, handedOver)
        return DrainReport(unfinishedJobs, handedOver)
    }

    private fun waitFor(idle: CompletableFuture<Unit>, limit: Duration) {
        try {
            idle.get(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            log.error("http: {} jobs have not ended within the drain limit", jobs.openSubmissions)
        }
    }

    /** Requests that wait for a home elsewhere end before the engine and the peers are stopped. */
    private fun stopServing(limit: Duration) {
        val stopped = callerServer.stop()
        stopped.orTimeout((limit + SHUTDOWN_MARGIN).inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .exceptionally { null }
            .join()
        CompletableFuture.allOf(CompletableFuture.runAsync(extension::stop), operatorServer.stop()).join()
        backends.close()
        loop.stop()
        answers.shutdown()
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
        builder.service(BurnReportService.PATH, BurnReportService(burn))
        return builder.build()
    }

    private fun status() =
        InstanceStatus(
            instance = identity.instance.value,
            failureDomain = identity.failureDomain.value,
            incarnation = identity.incarnation.toString(),
            state = state.get(),
            notReady = notReady(),
            rulesVersion = known.rulesVersion,
            openJobs = jobs.openSubmissions,
            inboxDepth = loop.inboxDepth,
            backends = known.backends(),
            replayedHomes = successors.homes().map { "${it.failureDomain}.${it.instance}.${it.incarnation}" },
            peers = extension.status(),
        )

    private fun notReady(): List<String> {
        val reasons = ArrayList<String>()
        if (state.get() != InstanceState.SERVING) reasons += "the instance is ${state.get().name.lowercase()}"
        if (known.rulesVersion == null) reasons += "no rules yet"
        return reasons + extension.obstacles()
    }

    private fun isHandledHere(submission: SubmissionId): Boolean {
        val home = submission.ticket.home
        return home == identity || home in successors.homes()
    }

    private fun addressOf(id: BackendId): BackendAddress? = endpoints[id] ?: extension.addresses.addressOf(id)

    /** Runs on the engine's thread, so answers are recorded and encoded elsewhere. */
    private fun carryOut(effects: List<Effect>) {
        for (effect in effects) {
            when (effect) {
                is Effect.Start -> backends.start(effect)
                is Effect.Stop -> backends.stop(effect)
                is Effect.Answered -> answers.execute { answered(effect) }
            }
        }
    }

    private fun answered(effect: Effect.Answered) {
        log.answered(effect.submission, effect.answer)
        jobs.answered(effect.submission, effect.answer)
    }

    /** Passes inputs to the engine and notes what status and metrics show of them. */
    private inner class EngineSink :
        JobService.JobSink,
        InputSink {
        override fun submit(job: Job): Boolean {
            extension.jobSubmitted(job)
            return loop.submit(job)
        }

        override fun offer(input: Input) {
            known.note(input)
            TaskReply.ofOrNull(input)?.let(jobs::taskEnded)
            loop.offer(input)
        }
    }

    private inner class Recorder : JobRecorder by metrics {
        override fun ended(record: JobRecord) {
            metrics.ended(record)
            burn.answered(JobOutcome.of(record.job.caller, record.job.kind, record.elapsed, record.answer))
        }
    }

    private inner class Replies : BackendObserver by metrics {
        override fun replied(reply: BackendReply): Unit = extension.backendReplied(reply)
    }

    private companion object {
        val log = LogManager.getLogger(EntryInstance::class.java)

        /** Time for reading a body before the job's own timeout begins. */
        const val READ_MARGIN_MS = 5_000L

        /** Requests that arrive on open connections right before these are closed are still served. */
        const val QUIET_PERIOD_MS = 200L
        val SHUTDOWN_MARGIN = 5_000.milliseconds
    }
}
