package medlarroute.server

import medlarroute.core.BackendId
import medlarroute.core.CallerId
import medlarroute.core.DemandMeter
import medlarroute.core.EntryMember
import medlarroute.core.LendingSettings
import medlarroute.core.Membership
import medlarroute.core.PeerState
import medlarroute.core.QuotaLedger
import medlarroute.core.RegistryExport
import medlarroute.core.Rules
import medlarroute.core.RulesKeeper
import medlarroute.core.RulesParser
import medlarroute.core.RulesText
import medlarroute.core.Settings
import medlarroute.core.SubmissionRegistry
import medlarroute.core.SuccessorRecords
import medlarroute.core.TeamId
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Exchanges data with the peers of an entry instance and with the platform: members, rules, quota shares, forwarded
 * requests, records of stopped homes, and claims.
 *
 * Start it after the engine loop, and close it after the last request was answered.
 *
 * @param localHandler handles forwarded requests for which this instance is the home or the successor.
 * @param failure creates the reply for a submission that failed and may have run.
 */
internal class PeerNetwork(
    private val settings: Settings,
    home: SubmissionRegistry.Home,
    inputs: InputSink,
    localHandler: HomeHandler,
    successors: SuccessorRecords,
    parser: RulesParser,
    failure: FailureReply,
    lending: LendingSettings = LendingSettings(),
    random: Random = Random.Default,
) : AutoCloseable {
    private val factory = PeerClient.factory(settings.peers)
    private val executor = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "peer-network").also { it.isDaemon = true }
    }
    private val platform = if (settings.platform.url.isEmpty()) null else PlatformClient(settings.platform, factory)
    private val client = PeerClient(factory, settings.peers.silentAfterMs.milliseconds)
    private val retention = settings.registry.retentionMs.milliseconds
    private val members =
        MemberTable(Membership(self(home), settings.peers, retention, random = random), inputs)
    private val quotas = QuotaShares(QuotaLedger(slots(), lending), DemandMeter(), inputs)
    private val sync = RulesSync(RulesKeeper(parser), platform, client, inputs, ::rulesChanged)
    private val store = RulesStore(platform, sync, parser, APPLY_TIMEOUT, random)
    private val heartbeats = HeartbeatExchange(settings.peers, members, client, quotas, sync)
    private val listSync = platform?.let { InstanceListSync(it, members) }
    private val handOver = HandOver(members, client, HAND_OVER_TIMEOUT)
    private val server =
        PeerServer(settings.peers, PeerService(members, localHandler, successors, failure, heartbeats, sync))
    private val pollers = listOfNotNull(
        listSync?.let { poller(settings.platform.listIntervalMs, it::poll) },
        poller(settings.platform.rulesIntervalMs, sync::poll),
        poller(settings.peers.heartbeatIntervalMs, ::startHeartbeatRound),
    )

    @Volatile
    private var rulesInForce = Rules()

    /** Forwards requests whose home is another instance. */
    val forwarder: RequestForwarder = PeerForwarder(members, client, localHandler, failure)

    /** Addresses of the listed backend servers. */
    val backendAddresses: BackendAddresses get() = members

    /** Claims of idempotency keys. */
    val claims = ClaimStore(platform, settings.platform.claimTimeoutMs.milliseconds, retention, random)

    /** Rules for the operators' port. */
    val rules = RulesService(sync, store, members)

    /** Port for peers; available after [start]. */
    val peerPort: Int get() = server.port

    /** Version of the rules in force; 0 if there are none. */
    val rulesVersion: Long get() = sync.version

    /** True once another process uses the name of this instance. */
    val isReplaced: Boolean get() = members.isReplaced

    /** Starts per second that this instance may currently use for each team. */
    fun shares(): Map<TeamId, Double> = quotas.shares()

    /** The other entry instances. */
    fun peers(): List<PeerState> = members.peers()

    /** Starts serving peers, polling the platform and sending heartbeats. */
    fun start() {
        server.start()
        members.setListenPort(settings.peers.advertisedPort.takeIf { it > 0 } ?: server.port)
        pollers.forEach { it.start() }
        executor.scheduleWithFixedDelay(::refreshQuotas, QUOTA_REFRESH_MS, QUOTA_REFRESH_MS, TimeUnit.MILLISECONDS)
    }

    /** Commits [text] if [expectedVersion] is still the committed version. */
    fun applyRules(text: String, expectedVersion: Long): CompletableFuture<ApplyRulesResult> =
        store.apply(text, expectedVersion)

    /** Puts rules in force that do not come from the platform, for instances without one. */
    fun offerRules(rules: RulesText) {
        sync.offer(rules)
    }

    /** Applies the incarnation and state that a reply of a backend server carried. */
    fun backendReplied(id: BackendId, incarnation: Long, isLeaving: Boolean): Unit =
        members.backendReplied(id, incarnation, isLeaving)

    /** Records that a job of [caller] with [tasks] tasks has arrived, admitted or not. */
    fun recordDemand(caller: CallerId, tasks: Int): Unit = quotas.recordDemand(rulesInForce.teamOf(caller), tasks)

    /** Notifies the peers that this instance is draining. */
    fun announceLeaving() {
        members.markLeaving()
        heartbeats.sendRound()
    }

    /**
     * Sends the records of the sealed registry to a successor and notifies the peers. Completes with the successor, or
     * with null if no candidate received them.
     */
    fun handOver(export: RegistryExport): CompletableFuture<EntryMember?> =
        handOver.send(export).thenCompose { successor -> heartbeats.sendRound().thenApply { successor } }

    override fun close() {
        pollers.forEach { it.close() }
        executor.shutdownNow()
        CompletableFuture.allOf(server.stop(), factory.closeAsync()).join()
    }

    private fun self(home: SubmissionRegistry.Home): EntryMember = EntryMember(
        home.instance,
        home.failureDomain,
        home.incarnation,
        settings.peers.host,
        settings.peers.port,
        settings.operators.port,
        sequence = 1,
    )

    private fun slots(): Int = settings.instance.failureDomains * settings.instance.instancesInFailureDomain

    private fun poller(intervalMs: Long, attempt: () -> CompletableFuture<Boolean>): Poller {
        val maxBackoff = settings.platform.maxBackoffMs.milliseconds
        return Poller(executor, intervalMs.milliseconds, maxBackoff, Random.Default, attempt)
    }

    private fun rulesChanged(rules: Rules) {
        rulesInForce = rules
        quotas.rulesChanged(rules)
    }

    /** Does not wait for the replies: an unresponsive peer would delay the heartbeats to all others. */
    private fun startHeartbeatRound(): CompletableFuture<Boolean> {
        heartbeats.sendRound()
        return CompletableFuture.completedFuture(true)
    }

    private fun refreshQuotas() {
        try {
            quotas.refresh()
        } catch (e: RuntimeException) {
            log.error("peer: the quota shares could not be refreshed", e)
        }
    }

    private companion object {
        /** Shorter than [LendingSettings.margin], for which a lent share stays unused after its grant expired. */
        const val QUOTA_REFRESH_MS = 200L
        val APPLY_TIMEOUT = 10.seconds
        val HAND_OVER_TIMEOUT = 10.seconds
        val log = LogManager.getLogger(PeerNetwork::class.java)
    }
}
