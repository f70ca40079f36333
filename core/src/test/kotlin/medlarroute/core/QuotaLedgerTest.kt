package medlarroute.core

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

private val team = TeamId("imaging")

class QuotaLedgerTest {
    private val clock = TestTimeSource()

    private fun ledger(): QuotaLedger =
        QuotaLedger(shareCount = 4, clock = clock).also { it.quotasChanged(mapOf(team to 400.0)) }

    @Test
    fun `unused share moves to the instance with the demand and comes back when the grant ends`() {
        val lender = ledger()
        val borrower = ledger()
        clock += 12.seconds
        borrower.demandChanged(mapOf(team to 500.0))
        val sentAt = borrower.requestTime()
        val grants = lender.lend(borrower.demands(peers = 3, limit = 3), limit = 3)
        lender.shares().getValue(team) shouldBe (75.0 plusOrMinus 1e-6)
        borrower.borrow(member("e2", "north"), grants, sentAt)
        borrower.shares().getValue(team) shouldBe (125.0 plusOrMinus 1e-6)
        clock += 10.seconds
        borrower.shares().getValue(team) shouldBe (100.0 plusOrMinus 1e-6)
        lender.shares().getValue(team) shouldBe (75.0 plusOrMinus 1e-6)
        clock += 1.seconds
        lender.shares().getValue(team) shouldBe (100.0 plusOrMinus 1e-6)
    }

    @Test
    fun `a lender keeps the share that it needs itself`() {
        val lender = ledger()
        clock += 12.seconds
        lender.demandChanged(mapOf(team to 90.0))
        lender.lend(listOf(QuotaDemand(team, 50.0)), limit = 3).shouldBeEmpty()
    }

    @Test
    fun `a restarted instance does not use what its earlier incarnation may have lent`() {
        val restarted = ledger()
        restarted.shares().getValue(team) shouldBe (50.0 plusOrMinus 1e-6)
        restarted.lend(listOf(QuotaDemand(team, 50.0)), limit = 3).shouldBeEmpty()
        clock += 11.seconds
        restarted.shares().getValue(team) shouldBe (100.0 plusOrMinus 1e-6)
    }

    @Test
    fun `the sum of all usable shares never exceeds the quota`() = runBlocking<Unit> {
        var largestRatio = 0.0
        checkAll(PropTestConfig(seed = 1, iterations = 60), Arb.long(), Arb.int(2..8)) { seed, size ->
            val cluster = LendingCluster(seed, size)
            repeat(400) {
                cluster.step()
                cluster.usable() shouldBeLessThanOrEqual LendingCluster.QUOTA * (1 + 1e-9)
                largestRatio = maxOf(largestRatio, cluster.largestShare() / (LendingCluster.QUOTA / size))
            }
        }
        // Guards against a vacuous pass in which nothing was lent.
        largestRatio shouldBeGreaterThan 1.2
    }
}

/**
 * Instances that lend over a network with loss, unbounded delay, duplication and partitions. They can be restarted, and
 * paused so that their messages are delayed. Their clock rates differ by up to 1% from real time.
 */
private class LendingCluster(seed: Long, private val size: Int) {
    private class Instance(size: Int, val member: EntryMember, val clock: TestTimeSource, val rate: Double) {
        val ledger = QuotaLedger(size, clock = clock).also { it.quotasChanged(mapOf(team to QUOTA)) }
        var pausedSteps = 0
    }

    private class Reply(val to: Instance, val from: EntryMember, val grants: List<QuotaGrant>, val sentAt: Duration)

    private val random = Random(seed)
    private val replies = ArrayList<Reply>()
    private val instances = MutableList(size) { start(it, 1) }
    private var partitioned = false

    private fun start(index: Int, incarnation: Long) =
        Instance(size, member("e$index", "north", incarnation), TestTimeSource(), random.nextDouble(0.99, 1.01))

    fun usable(): Double = instances.sumOf { it.ledger.shares().getValue(team) }

    fun largestShare(): Double = instances.maxOf { it.ledger.shares().getValue(team) }

    fun step() {
        val elapsed = random.nextInt(1, 900).milliseconds
        instances.forEach { it.clock += elapsed * it.rate }
        instances.forEach { if (it.pausedSteps > 0) it.pausedSteps-- }
        if (random.nextInt(20) == 0) partitioned = !partitioned
        val index = random.nextInt(size)
        when (random.nextInt(30)) {
            0 -> instances[index] = start(index, instances[index].member.incarnation.value + 1)
            1 -> instances[index].pausedSteps = random.nextInt(40)
            2 -> instances.forEach { it.ledger.demandChanged(mapOf(team to random.nextDouble(0.0, QUOTA))) }
        }
        repeat(3) { request(instances.random(random), instances.random(random)) }
        deliverSome()
    }

    private fun request(borrower: Instance, lender: Instance) {
        if (borrower === lender || borrower.pausedSteps > 0 || lender.pausedSteps > 0) return
        if (partitioned && instances.indexOf(borrower) % 2 != instances.indexOf(lender) % 2) return
        val sentAt = borrower.ledger.requestTime()
        val grants = lender.ledger.lend(borrower.ledger.demands(peers = 3, limit = 3), limit = 3)
        if (grants.isNotEmpty() && random.nextInt(4) != 0) replies += Reply(borrower, lender.member, grants, sentAt)
    }

    /** Delivers some replies: in any order, late, and some of them twice. */
    private fun deliverSome() {
        replies.shuffle(random)
        val arriving = replies.filter { it.to.pausedSteps == 0 && random.nextBoolean() }
        arriving.forEach { it.to.ledger.borrow(it.from, it.grants, it.sentAt) }
        replies.removeAll(arriving.filter { random.nextInt(3) != 0 }.toSet())
    }

    companion object {
        const val QUOTA = 1_000.0
    }
}
