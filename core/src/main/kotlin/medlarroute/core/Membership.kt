package medlarroute.core

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Where a request for a home goes. */
public sealed interface HomeRoute {
    /** This instance is the home, or holds its records. */
    public data object Self : HomeRoute

    /** The home is expected to run. */
    public data class Home(public val member: EntryMember) : HomeRoute

    /** The home has stopped; [member] replays its records. */
    public data class Successor(public val member: EntryMember) : HomeRoute

    /** No instance is known to have the records. */
    public data class Lost(public val reason: String) : HomeRoute
}

/** What this instance knows about another one. [rulesVersion] is null before the first contact. */
public data class PeerState(
    public val member: EntryMember,
    public val reachable: Boolean,
    public val rulesVersion: Long?,
    public val sinceContact: Duration?,
)

/**
 * Entry instances and backend servers, merged from the platform's lagging list and from heartbeats.
 *
 * A higher incarnation replaces a lower one, and leaving is never withdrawn within an incarnation. A member is only
 * removed when two fetches in a row lack it; an empty list removes nothing. An unreachable member stays: only a higher
 * incarnation or the list shows that it is dead. Not thread-safe.
 *
 * @param retention how long the successor of a stopped home is remembered.
 */
public class Membership(
    self: EntryMember,
    private val settings: PeerSettings,
    private val retention: Duration,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    random: Random = Random.Default,
) {
    private class Entry(var member: EntryMember) {
        var sent = 0
        var listed = false
        var missedFetches = 0
        var rulesVersion: Long? = null
        var contactAt: Duration? = null
        var failing = false
    }

    private class Backend(var listed: ListedBackend) {
        var missedFetches = 0

        /** Highest incarnation that a reply of the backend server told; the list may lag behind it. */
        var contactIncarnation = 0L

        val incarnation: Long get() = maxOf(listed.incarnation, contactIncarnation)
    }

    private class Stopped(val successor: InstanceId, val incarnation: Incarnation, val since: Duration) {
        var sent = 0
    }

    /** This instance, as it describes itself. */
    public var self: EntryMember = self
        private set

    /** True once a higher incarnation of this instance was seen: this process has been replaced. */
    public var replaced: Boolean = false
        private set

    private val origin = clock.markNow()
    private val entries = LinkedHashMap<InstanceId, Entry>()
    private val removed = LinkedHashMap<InstanceId, Incarnation>()
    private val backends = LinkedHashMap<BackendId, Backend>()
    private val leaving = LeavingBackends()
    private val stopped = LinkedHashMap<Pair<InstanceId, Incarnation>, MutableList<Stopped>>()
    private val selection = PeerSelection(settings.fanOut, random)

    private val now: Duration get() = origin.elapsedNow()

    /** All other entry instances that are not known to be dead. */
    public fun peers(): List<PeerState> = entries.values.map { entry ->
        PeerState(entry.member, isReachable(entry), entry.rulesVersion, entry.contactAt?.let { now - it })
    }

    /** The backend servers of the last list, those that are leaving included. */
    public fun backends(): List<ListedBackend> = backends.values.map { it.listed }

    /** True if [id] is known to be leaving. */
    public fun isLeaving(id: BackendId): Boolean = leaving.isLeaving(id, backends[id]?.incarnation ?: 0)

    /** Notes the ports that this instance has bound. Call before the first heartbeat. */
    public fun setListenPorts(peerPort: Int, operatorsPort: Int = self.operatorsPort) {
        self = self.copy(peerPort = peerPort, operatorsPort = operatorsPort, sequence = self.sequence + 1)
    }

    /** Marks this instance as draining, for all that hear of it. */
    public fun markLeaving() {
        if (!self.leaving) self = self.copy(leaving = true, sequence = self.sequence + 1)
    }

    /** Merges a list that was fetched from the platform. */
    public fun listFetched(list: InstanceList): List<Input> {
        val inputs = ArrayList<Input>()
        list.entries.forEach { listed(it) }
        list.backends.forEach { listed(it, inputs) }
        if (list.entries.isNotEmpty()) missEntries(list.entries.mapTo(HashSet()) { it.instance })
        if (list.backends.isNotEmpty()) missBackends(list.backends.mapTo(HashSet()) { it.server.id }, inputs)
        return inputs
    }

    /** The platform told that the list is the same as at the last fetch. */
    public fun listUnchanged(): List<Input> {
        val inputs = ArrayList<Input>()
        val presentEntries = entries.filterValues { it.missedFetches == 0 }.keys.toSet()
        val presentBackends = backends.filterValues { it.missedFetches == 0 }.keys.toSet()
        if (presentEntries.isNotEmpty()) missEntries(presentEntries)
        if (presentBackends.isNotEmpty()) missBackends(presentBackends, inputs)
        return inputs
    }

    /** A reply of a backend server told its incarnation and whether it is leaving. */
    public fun backendReplied(id: BackendId, incarnation: Long, isLeaving: Boolean): List<Input> {
        backends[id]?.let { it.contactIncarnation = maxOf(it.contactIncarnation, incarnation) }
        if (isLeaving) return leavingNow(id, incarnation, now)
        if (!leaving.contactedServing(id, incarnation)) return emptyList()
        return listOfNotNull(backends[id]?.let { Input.BackendServing(it.listed.server) })
    }

    /** Peers to contact in this round. */
    public fun heartbeatTargets(): List<EntryMember> {
        val (reachable, unreachable) = entries.values.partition { isReachable(it) }
        return selection.next(reachable.map { it.member }, unreachable.map { it.member })
            .mapNotNull { entries[it]?.member }
    }

    /** What to tell a peer, within [PeerSettings.heartbeatBytes]. */
    public fun heartbeat(
        rulesVersion: Long,
        grants: List<QuotaGrant> = emptyList(),
        demands: List<QuotaDemand> = emptyList(),
    ): Heartbeat {
        val base = Heartbeat(self, rulesVersion, grants = grants, demands = demands)
        val news = News(settings.heartbeatBytes - HeartbeatSize.of(base))
        news.fill(leaving.toSend(now), stoppedToSend(), entries.values.sortedBy { it.sent }.map { it.member })
        news.leavingBackends.forEach { leaving.sent(it.backend) }
        news.members.forEach { member -> entries[member.instance]?.let { it.sent++ } }
        news.successors.forEach { notice ->
            stopped[notice.homeInstance to notice.homeIncarnation]?.forEach { it.sent++ }
        }
        return base.copy(
            members = news.members,
            successors = news.successors,
            leavingBackends = news.leavingBackends,
        )
    }

    /** Merges what a peer told. */
    public fun heartbeatReceived(heartbeat: Heartbeat): List<Input> {
        contacted(heartbeat)
        heartbeat.members.forEach { gossiped(it) }
        heartbeat.successors.forEach { successorFound(it) }
        return heartbeat.leavingBackends.flatMap { leavingNow(it.backend, it.incarnation, now - it.age) }
    }

    /** A request to the peer failed. */
    public fun contactFailed(instance: InstanceId) {
        entries[instance]?.failing = true
    }

    /** Records that a successor holds the complete records of a stopped home. */
    public fun successorFound(notice: SuccessorNotice) {
        val since = now - notice.age
        stopped.values.forEach { held -> held.removeIf { now - it.since > retention } }
        stopped.values.removeIf { it.isEmpty() }
        if (notice.age > retention) return
        val held = stopped.getOrPut(notice.homeInstance to notice.homeIncarnation) { ArrayList() }
        if (held.none { it.successor == notice.successor && it.incarnation == notice.successorIncarnation }) {
            held += Stopped(notice.successor, notice.successorIncarnation, since)
        }
    }

    /** Where a request for [home] goes. */
    public fun route(home: SubmissionRegistry.Home): HomeRoute {
        if (home == self.home) return HomeRoute.Self
        successorOf(home)?.let { return it }
        val known = entries[home.instance]?.member
        return when {
            known == null -> HomeRoute.Lost("the home of the ticket is not known")
            known.incarnation > home.incarnation -> HomeRoute.Lost("the home of the ticket was restarted")
            else -> HomeRoute.Home(known)
        }
    }

    /** Instances that can take this one's records, the best first: reachable ones in the own failure domain. */
    public fun successorCandidates(): List<EntryMember> =
        entries.values.filterNot { it.member.leaving }
            .sortedWith(compareBy({ it.member.failureDomain != self.failureDomain }, { !isReachable(it) }))
            .map { it.member }

    private fun successorOf(home: SubmissionRegistry.Home): HomeRoute? {
        val held = stopped[home.instance to home.incarnation] ?: return null
        if (held.any { it.successor == self.instance && it.incarnation == self.incarnation }) return HomeRoute.Self
        val alive = held.mapNotNull { successor ->
            entries[successor.successor]?.takeIf { it.member.incarnation == successor.incarnation }
        }
        return alive.sortedBy { !isReachable(it) }.firstOrNull()?.let { HomeRoute.Successor(it.member) }
    }

    private fun isReachable(entry: Entry): Boolean {
        if (!entry.failing) return true
        return entry.contactAt?.let { now - it < settings.deadAfterMs.milliseconds } ?: false
    }

    private fun contacted(heartbeat: Heartbeat) {
        val sender = heartbeat.sender
        if (sender.instance == self.instance) return noteOwnName(sender)
        if (removed[sender.instance]?.let { it > sender.incarnation } == true) return
        removed.remove(sender.instance)
        val entry = merged(sender) ?: return
        if (entry.member.incarnation != sender.incarnation) return
        entry.contactAt = now
        entry.failing = false
        entry.rulesVersion = maxOf(heartbeat.rulesVersion, entry.rulesVersion ?: 0)
    }

    private fun gossiped(member: EntryMember) {
        if (member.instance == self.instance) return noteOwnName(member)
        val gone = removed[member.instance]
        if (gone == null || member.incarnation > gone) merged(member)
    }

    private fun listed(member: EntryMember) {
        if (member.instance == self.instance) return noteOwnName(member)
        // A list without incarnations can't tell whose leaving it shows, so only the address is used.
        val useful = if (member.incarnation.value == 0L) member.copy(leaving = false) else member
        val gone = removed[member.instance] ?: Incarnation(0)
        if (gone.value != 0L && gone >= useful.incarnation) return
        removed.remove(member.instance)
        merged(useful)?.listed = true
    }

    private fun noteOwnName(member: EntryMember) {
        if (member.incarnation > self.incarnation) replaced = true
    }

    private fun merged(member: EntryMember): Entry? {
        val entry = entries[member.instance]
            ?: return Entry(member).also { add(it) }
        val merged = entry.member.merge(member)
        if (merged.incarnation > entry.member.incarnation) {
            add(Entry(merged).also { it.listed = entry.listed })
        } else if (merged != entry.member) {
            entry.member = merged
            entry.sent = sentOfNews()
        }
        return entries[member.instance]
    }

    private fun add(entry: Entry) {
        entry.sent = sentOfNews()
        entries[entry.member.instance] = entry
    }

    /** A changed member is told a few times before the others get their turn again. */
    private fun sentOfNews(): Int = (entries.values.minOfOrNull { it.sent } ?: 0) - NEWS_SENDS

    private fun missEntries(present: Set<InstanceId>) {
        entries.forEach { (id, entry) ->
            entry.missedFetches = if (id in present || !entry.listed) 0 else entry.missedFetches + 1
        }
        val gone = entries.filterValues { it.missedFetches >= FETCHES_TO_REMOVE && !hasRecentContact(it) }
        gone.forEach { (id, entry) ->
            entries.remove(id)
            removed[id] = entry.member.incarnation
        }
        while (removed.size > MAX_REMOVED) removed.remove(removed.keys.first())
    }

    private fun hasRecentContact(entry: Entry): Boolean =
        entry.contactAt?.let { now - it < settings.deadAfterMs.milliseconds * RECENT_CONTACT_FACTOR } ?: false

    private fun listed(listed: ListedBackend, inputs: MutableList<Input>) {
        val id = listed.server.id
        val known = backends[id]
        if (known != null) known.missedFetches = 0
        if (known != null && listed.incarnation < known.listed.incarnation) return
        val wasLeaving = isLeaving(id)
        val isChanged = known == null || known.listed != listed
        (known ?: Backend(listed).also { backends[id] = it }).listed = listed
        if (listed.leaving) {
            leaving.add(id, listed.incarnation, now, listed = true)
        } else {
            leaving.listedLive(id, listed.incarnation, now)
        }
        val isNew = known == null
        val isServing = !isLeaving(id)
        val isBack = isServing && (isChanged || wasLeaving)
        if (isNew || isBack) inputs += Input.BackendServing(listed.server)
        if (!isServing && (isNew || !wasLeaving)) inputs += Input.BackendLeaving(id)
    }

    private fun leavingNow(id: BackendId, incarnation: Long, since: Duration, listed: Boolean = false): List<Input> {
        val wasLeaving = isLeaving(id)
        val isNews = leaving.add(id, incarnation, since, listed)
        return if (isNews && !wasLeaving && isLeaving(id)) listOf(Input.BackendLeaving(id)) else emptyList()
    }

    private fun missBackends(present: Set<BackendId>, inputs: MutableList<Input>) {
        backends.forEach { (id, backend) -> if (id !in present) backend.missedFetches++ }
        val gone = backends.filterValues { it.missedFetches >= FETCHES_TO_REMOVE }.keys.toList()
        gone.forEach { id ->
            backends.remove(id)
            leaving.delisted(id)
            inputs += Input.BackendRemoved(id)
        }
    }

    private fun stoppedToSend(): List<SuccessorNotice> =
        stopped.entries.flatMap { (home, held) -> held.map { home to it } }
            .filter { (_, it) -> now - it.since < retention }.sortedBy { (_, it) -> it.sent }
            .map { (home, it) ->
                SuccessorNotice(home.first, home.second, it.successor, it.incarnation, now - it.since)
            }

    private companion object {
        /** One fetch may be cut short or served by a stale replica of the list. */
        const val FETCHES_TO_REMOVE = 2

        /** Every peer is in contact every few seconds, less often than [PeerSettings.deadAfterMs] at 32 instances. */
        const val RECENT_CONTACT_FACTOR = 4
        const val MAX_REMOVED = 1_000
        const val NEWS_SENDS = 8
    }
}

/**
 * Collects what fits into [budgetBytes], taking of each kind in turn so that none crowds out the others. Leaving
 * backend servers get two places in a turn, since only they have to be known within seconds.
 */
private class News(private var budgetBytes: Int) {
    val leavingBackends = ArrayList<LeavingNotice>()
    val successors = ArrayList<SuccessorNotice>()
    val members = ArrayList<EntryMember>()

    fun fill(leaving: List<LeavingNotice>, stopped: List<SuccessorNotice>, known: List<EntryMember>) {
        val urgent = leaving.iterator()
        val turn = listOf(urgent, urgent, stopped.iterator(), known.iterator())
        do {
            val added = turn.map { it.hasNext() && add(it.next()) }
        } while (added.any { it })
    }

    private fun add(item: Any): Boolean = when (item) {
        is LeavingNotice -> take(HeartbeatSize.of(item)) { leavingBackends += item }
        is SuccessorNotice -> take(HeartbeatSize.of(item)) { successors += item }
        is EntryMember -> take(HeartbeatSize.of(item)) { members += item }
        else -> false
    }

    private fun take(sizeBytes: Int, add: () -> Unit): Boolean {
        if (sizeBytes > budgetBytes) return false
        budgetBytes -= sizeBytes
        add()
        return true
    }
}
