package medlarroute.server

import com.linecorp.armeria.server.Server
import medlarroute.core.BackendId
import medlarroute.core.BackendServer
import medlarroute.core.Effect
import medlarroute.core.Engine
import medlarroute.core.FailureCode
import medlarroute.core.FailureDomainId
import medlarroute.core.Incarnation
import medlarroute.core.Input
import medlarroute.core.InstanceId
import medlarroute.core.Job
import medlarroute.core.Rules
import medlarroute.core.Settings
import medlarroute.core.SubmissionId
import medlarroute.core.SubmissionRegistry
import medlarroute.core.SuccessorRecords
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/** A backend server that the embedding code supplies, with the address where it listens. */
public data class BackendEndpoint(public val server: BackendServer, public val host: String, public val port: Int)

/** One entry instance. */
public class EntryInstance(private val settings: Settings) {
    private val identity = SubmissionRegistry.Home(
        FailureDomainId(settings.instance.failureDomain),
        InstanceId(settings.instance.id),
        Incarnation(System.currentTimeMillis()),
    )
    private val registry = SubmissionRegistry(identity, settings.registry)
    private val successors = SuccessorRecords(settings.registry)
    private val endpoints = ConcurrentHashMap<BackendId, BackendAddress>()
    private val loop = EngineLoop(Engine(settings.engine), ::carryOut, settings.engine.maxOpenJobs)
    private val backends = BackendClient(settings.backends, endpoints::get, loop, loop::elapsed)
    private val jobs = JobService(identity, registry, successors, EngineSink(), jobLimits())
    private val callerServer = callerServer()

    /** Port that serves callers; known after [start]. */
    public val callerPort: Int get() = callerServer.activeLocalPort()

    /** Starts serving callers. */
    public fun start() {
        loop.start()
        callerServer.start().join()
    }

    /** Puts rules in force, unless newer ones are. */
    public fun applyRules(rules: Rules): Unit = loop.offer(Input.RulesChanged(rules))

    /** Makes a backend server known. */
    public fun addBackend(backend: BackendEndpoint) {
        endpoints[backend.server.id] = BackendAddress(backend.server.id, backend.host, backend.port)
        loop.offer(Input.BackendSeen(backend.server))
    }

    private fun callerServer(): Server {
        val authentication =
            if (settings.callers.tokensFile.isEmpty()) {
                CallerAuthentication.byName()
            } else {
                CallerAuthentication.byTokens(java.nio.file.Path.of(settings.callers.tokensFile))
            }
        val api = CallerApi(
            settings.registry,
            settings.engine.maxTimeoutMs.milliseconds,
            authentication,
            registry,
            ::isHandledHere,
            jobs,
            { CompletableFuture.completedFuture(homeLost(it)) },
            ClaimHandler.Unavailable,
        )
        val builder = Server.builder()
            .http(InetSocketAddress(settings.callers.host, settings.callers.port))
            .maxRequestLength(settings.callers.maxBodyBytes)
            .requestTimeoutMillis(settings.engine.maxTimeoutMs + READ_MARGIN_MS)
        api.addTo(builder)
        return builder.build()
    }

    private fun homeLost(request: CallerRequest) =
        ReplyJson.failure(request.submission, FailureCode.HOME_LOST, "the home of the ticket is not known")

    private fun isHandledHere(submission: SubmissionId): Boolean {
        val ticket = submission.ticket
        val home = SubmissionRegistry.Home(ticket.failureDomain, ticket.instance, ticket.incarnation)
        return home == identity || home in successors.homes()
    }

    private fun carryOut(effects: List<Effect>) {
        for (effect in effects) {
            when (effect) {
                is Effect.Start -> backends.start(effect)
                is Effect.Stop -> backends.stop(effect)
                is Effect.Answered -> jobs.answered(effect.submission, effect.answer)
            }
        }
    }

    private fun jobLimits() =
        JobLimits(
            settings.engine.maxTasksPerJob,
            settings.callers.maxPayloadBytes,
            settings.engine.defaultTimeoutMs.milliseconds,
            settings.engine.maxTimeoutMs.milliseconds,
        )

    private companion object {
        /** Time for reading a body before the job's own timeout begins. */
        const val READ_MARGIN_MS = 5_000L
    }

    private inner class EngineSink : JobService.JobSink {
        override fun submit(job: Job): Boolean = loop.submit(job)

        override fun offer(input: Input): Unit = loop.offer(input)
    }
}
