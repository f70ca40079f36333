package medlarroute.dispatch

import kotlin.random.Random
import kotlin.time.TestTimeSource

/**
 * Entries and owners of failure domains with simulated links between them, under random pauses, cuts, losses and
 * handovers.
 *
 * @param leavesUnnoticed whether entries learn only seconds later that a client has left, so that two entries wait for
 *   its job, also if they read it only after a pause. Otherwise a client sends its job again only after the entry that
 *   held it has dropped it.
 * @param cutsLinks whether links between instances are cut.
 * @param suspendsMachines whether processes are paused with their machines, and more often than otherwise.
 * @param silencesConnections whether open connections go silent, in one direction or both, while new ones work.
 * @param clockRateError how far the rates of the clocks of the machines are from true time at most.
 */
internal class EntryConcurrentRunScenario(
    private val random: Random,
    private val leavesUnnoticed: Boolean = false,
    private val cutsLinks: Boolean = true,
    private val suspendsMachines: Boolean = false,
    private val silencesConnections: Boolean = false,
    private val clockRateError: Double = 0.0,
) {
    private val clock = TestTimeSource()
    private val sim = SimulatedBackends(clock)
    private val fleet = SimulatedFleet(sim, clock, random, OWNERS, ENTRIES, silencesConnections, ::newClockRate)
    private val owners = HashMap<String, SimulatedOwner>()
    private val entries = HashMap<String, SimulatedEntry>()
    private val ownership = SimulatedOwnership(fleet) { OWNERS.mapNotNull { owners[it] } }
    private val clients = ArrayList<Client>()

    /** Machines at both ends of the range are the worst case, so that half of them are there. */
    private fun newClockRate(): Double = when {
        clockRateError == 0.0 -> 1.0
        random.nextBoolean() -> if (random.nextBoolean()) 1 + clockRateError else 1 - clockRateError
        else -> 1 + random.nextDouble(-clockRateError, clockRateError)
    }

    /** A caller with one job, which it sends until the job is complete. */
    private inner class Client(val request: JobRequest) {
        private var attempts = 0

        /** Handles of the requests that entries have read, by attempt. */
        private val handles = HashMap<Int, Long>()
        var entry: SimulatedEntry? = null
            private set

        fun send() {
            val next = chooseEntry() ?: return repeat()
            entry = next
            val attempt = ++attempts
            val timeoutMs = random.nextLong(2_000, 3_000)
            next.deliver {
                handles[attempt] = next.service.submit(request, "${request.id}-$attempt", timeoutMs) { result ->
                    if (attempt == attempts && entry != null) {
                        entry = null
                        if (result != JobResult.Complete) repeat()
                    }
                }
            }
        }

        private fun chooseEntry(): SimulatedEntry? {
            val (paused, others) = running(entries).partition { it.isPaused }
            val waits = leavesUnnoticed && paused.isNotEmpty() && random.nextBoolean()
            return (if (waits) paused else others).randomOrNull(random)
        }

        /** Sends the job again later. Called when no entry holds it. */
        private fun repeat() {
            if (attempts < MAX_ATTEMPTS) sim.after(REPEAT_MS + random.nextLong(REPEAT_SPREAD_MS)) { send() }
        }

        /** The connection breaks. The entry drops the job when it notices that, which may be after a pause. */
        fun disconnect() {
            val holder = entry ?: return
            val dropped = attempts
            if (leavesUnnoticed) {
                entry = null
                repeat()
                sim.after(random.nextLong(MIN_UNNOTICED_MS, MAX_UNNOTICED_MS)) {
                    holder.deliver { handles[dropped]?.let(holder.service::cancel) }
                }
                return
            }
            holder.deliver {
                if (entry === holder && attempts == dropped) {
                    entry = null
                    handles[dropped]?.let(holder.service::cancel)
                    repeat()
                }
            }
        }

        /** The process of its entry has ended. */
        fun onEntryKilled() {
            entry = null
            repeat()
        }
    }

    /** Runs the scenario. Returns the trace of the first task that has run twice at the same time; null if none has. */
    fun violationOrNull(): String? {
        setUp()
        var step = 0
        while (step++ < STEPS && sim.concurrentRuns.isEmpty()) {
            if (random.nextInt(3) > 0) addClient()
            disturb()
            if (suspendsMachines && random.nextInt(2) == 0) pause(running(owners))
            if (leavesUnnoticed && random.nextInt(3) == 0) disconnectClient()
            if (silencesConnections && random.nextBoolean()) silenceConnections()
            run(random.nextLong(20, 500))
        }
        run(AFTERWARDS_MS)
        val task = sim.concurrentRuns.firstOrNull() ?: return null
        return "$task ran twice at the same time:\n" + traceOf(task).joinToString("\n")
    }

    private fun run(forMs: Long) {
        val untilMs = sim.nowMs + forMs
        while (sim.nowMs < untilMs && sim.concurrentRuns.isEmpty()) sim.run(sim.nowMs + 1)
    }

    /** What concerns [task] and its job, and what happened to the instances that had to do with the job. */
    private fun traceOf(task: TaskKey): List<String> {
        val sinceFirst = sim.trace.dropWhile { "job ${task.job} " !in it }
        val concerned = sinceFirst.filter { "$task " in it || "job ${task.job} " in it }
        val names = (OWNERS + ENTRIES).filter { name -> concerned.any { name in it } }
        return sinceFirst.filter { line ->
            val isEvent = " fault " in line || " process " in line
            "$task " in line || "job ${task.job} " in line || (isEvent && (names + DOMAINS).any { it in line })
        }
    }

    private fun <T : SimulatedProcess> running(processes: Map<String, T>): List<T> =
        processes.toSortedMap().values.filter { it.isRunning }

    private fun setUp() {
        sim.kill(sim.owners.single())
        repeat(BACKENDS) {
            val domain = DOMAINS[it % DOMAINS.size]
            sim.add("$domain-b$it", domain = domain)
        }
        sim.workMs = { random.nextLong(40, 2_500) }
        val lateShare = random.nextDouble(0.3)
        sim.lateByMs = { if (random.nextDouble() < lateShare) random.nextLong(10, 3_000) else null }
        sim.lateStopByMs = { if (random.nextDouble() < lateShare) random.nextLong(200, 4_000) else null }
        OWNERS.forEach(::startOwner)
        ENTRIES.forEach(::startEntry)
        ownership.start(DOMAINS, OWNERS.map { owners.getValue(it) })
        run(WARM_UP_MS)
        repeat(FIRST_JOBS) { addClient() }
    }

    private fun startOwner(name: String) {
        val member = fleet.newMember(name, DOMAINS[OWNERS.indexOf(name) % DOMAINS.size])
        owners[name] = SimulatedOwner(fleet, ownership, member).also { it.start() }
    }

    private fun startEntry(name: String) {
        val member = fleet.newMember(name, DOMAINS[ENTRIES.indexOf(name) % DOMAINS.size])
        entries[name] = SimulatedEntry(fleet, member).also { it.start() }
    }

    private fun addClient() {
        val request = sim.job("j${clients.size}", random.nextInt(1, 5), cpuMillis = 4_000, estimateMs = 300)
        clients += Client(request).also { it.send() }
    }

    private fun disturb() {
        when (random.nextInt(12)) {
            0 -> pause(running(owners))
            1 -> pause(running(entries))
            2 -> cutLink(isOneWay = true)
            3 -> cutLink(isOneWay = false)
            4 -> cutMachine()
            5 -> restartOwner()
            6 -> handOver()
            7 -> changeOwnersInSeries()
            8 -> disconnectClient()
            9 -> restartEntry()
            10 -> resetLink()
            else -> slowLink()
        }
    }

    private fun fault(text: String) = sim.trace("fault $text")

    private fun pause(candidates: List<SimulatedProcess>) {
        val process = candidates.filterNot { it.isPaused }.randomOrNull(random) ?: return
        val forMs = random.nextLong(200, if (leavesUnnoticed || suspendsMachines) 3_000 else 1_500)
        fault("${if (suspendsMachines) "suspension" else "pause"} of ${process.name} for $forMs ms")
        if (suspendsMachines) process.suspendMachine() else process.pause()
        sim.after(forMs) {
            fault("end of the pause of ${process.name}")
            process.resume()
        }
    }

    /** Names of an owner and of another machine that is connected to it. */
    private fun randomLink(): Pair<String, String> {
        val owner = OWNERS.random(random)
        return owner to (OWNERS + ENTRIES + ENTRIES).filter { it != owner }.random(random)
    }

    private fun cutMs() = random.nextLong(100, 3_000)

    private fun cutLink(isOneWay: Boolean) {
        if (!cutsLinks) return
        val (one, other) = randomLink()
        val isReversed = random.nextBoolean()
        val forMs = cutMs()
        if (!isOneWay || !isReversed) cut(one, other, forMs)
        if (!isOneWay || isReversed) cut(other, one, forMs)
    }

    private fun cut(from: String, to: String, forMs: Long) {
        fault("cut from $from to $to for $forMs ms")
        fleet.links.cut(from, to, forMs)
    }

    /** Cuts all links of a machine, in one direction or both. */
    private fun cutMachine() {
        if (!cutsLinks) return
        val machine = (OWNERS + ENTRIES).random(random)
        val forMs = cutMs()
        val directions = random.nextInt(1, 4)
        fault("cut of machine $machine, directions $directions, for $forMs ms")
        for (other in (OWNERS + ENTRIES).filter { it != machine }) {
            if (directions != 1) fleet.links.cut(machine, other, forMs)
            if (directions != 2) fleet.links.cut(other, machine, forMs)
        }
    }

    private fun slowLink() {
        val (one, other) = randomLink()
        val forMs = cutMs()
        fault("slow link between $one and $other for $forMs ms")
        fleet.links.slow(one, other, forMs)
        fleet.links.slow(other, one, forMs)
    }

    private fun resetLink() {
        val (one, other) = randomLink()
        val owner = owners[one]?.takeIf { it.isRunning } ?: return
        val peer = (owners[other] ?: entries[other])?.takeIf { it.isRunning } ?: return
        fault("reset of connections between $one and $other")
        fleet.links.reset(owner, peer)
    }

    /** Lets all connections go silent, those of one machine, or those of one link. */
    private fun silenceConnections() {
        val processes = running(owners) + running(entries)
        val directions = random.nextInt(1, 4)
        val share = if (random.nextBoolean()) 1.0 else 0.5
        val link = randomLink()
        val machine = processes.random(random).name
        val scope = random.nextInt(3)
        fault("silent connections, scope $scope, of $machine or $link, directions $directions, share $share")
        for (one in running(owners)) {
            for (other in processes.filter { it.name > one.name || it !is SimulatedOwner }) {
                val isAffected = when (scope) {
                    0 -> true
                    1 -> machine == one.name || machine == other.name
                    else -> setOf(one.name, other.name) == link.toList().toSet()
                }
                if (isAffected) fleet.links.silence(one, other, directions != 1, directions != 2, share)
            }
        }
    }

    private fun restartOwner() {
        val owner = running(owners).randomOrNull(random) ?: return
        val losesPower = random.nextInt(3) == 0
        fault("kill of ${owner.name}, power lost $losesPower")
        owner.kill(losesPower)
        sim.after(random.nextLong(50, 1_000)) {
            fault("start of ${owner.name}")
            startOwner(owner.name)
        }
    }

    private fun handOver() {
        val domain = DOMAINS.random(random)
        fault("handover of $domain")
        ownership.handOver(domain)
    }

    /** A rolling restart: several owners change within a short time. */
    private fun changeOwnersInSeries() {
        var atMs = 0L
        repeat(random.nextInt(2, 5)) {
            sim.after(atMs) { if (random.nextInt(3) == 0) restartOwner() else handOver() }
            atMs += random.nextLong(30, 700)
        }
    }

    private fun disconnectClient() {
        val client = clients.filter { it.entry != null }.randomOrNull(random) ?: return
        fault("client of job ${client.request.id} leaves")
        client.disconnect()
    }

    private fun restartEntry() {
        val entry = running(entries).randomOrNull(random) ?: return
        val losesPower = random.nextInt(3) == 0
        fault("kill of ${entry.name}, power lost $losesPower")
        entry.kill(losesPower)
        clients.filter { it.entry === entry }.forEach { it.onEntryKilled() }
        sim.after(random.nextLong(100, 1_500)) {
            fault("start of ${entry.name}")
            startEntry(entry.name)
        }
    }

    private companion object {
        val DOMAINS = listOf("d1", "d2", "d3")
        val OWNERS = listOf("o1", "o2", "o3", "o4")
        val ENTRIES = listOf("e1", "e2", "e3")
        const val BACKENDS = 6
        const val STEPS = 25
        const val FIRST_JOBS = 4
        const val WARM_UP_MS = 400L
        const val AFTERWARDS_MS = 5_000L
        const val MAX_ATTEMPTS = 4
        const val REPEAT_MS = 1_300L
        const val REPEAT_SPREAD_MS = 300L
        const val MIN_UNNOTICED_MS = 1_500L
        const val MAX_UNNOTICED_MS = 4_000L
    }
}
