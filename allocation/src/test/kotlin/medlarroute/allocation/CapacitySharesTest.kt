package medlarroute.allocation

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.map
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import kotlin.random.Random

class CapacitySharesTest {
    private val shares = CapacityShares(ShareSettings(listOf(4.0, 2.0, 1.0)))

    private fun uses(vararg usedAndQueued: Pair<Long, Long>) =
        usedAndQueued.mapIndexed { priority, (used, queued) -> QueueUse("q$priority", priority, used, queued) }

    /** Guards against shares that do not follow the weights. */
    @Test
    fun `shares follow the weights by priority`() {
        val ledger = shares.divide(70_000, uses(0L to 0L, 0L to 0L, 0L to 0L))
        ledger.shares.map { it.share } shouldBe listOf(40_000, 20_000, 10_000)
    }

    /** Guards against a queue of a low priority that has no weight of its own and so no share. */
    @Test
    fun `the last weight counts for lower priorities`() {
        val ledger = shares.divide(70_000, listOf(QueueUse("q", 9, 0, 0), QueueUse("r", 1, 0, 0)))
        ledger.shareOrNull("q")?.share shouldBe 23_333
    }

    /** Guards against starts that the next decision does not know of, so that a share is used twice. */
    @Test
    fun `a start counts for the next decision`() {
        val ledger = shares.divide(70_000, uses(0L to 0L, 10_000L to 20_000L, 0L to 0L))
        ledger.isBorrowing("q1", 10_000) shouldBe false
        ledger.onStarted("q1", 12_000)
        ledger.isBorrowing("q1", 1) shouldBe true
        ledger.shareOrNull("q1")?.borrowed shouldBe 2_000
        ledger.shareOrNull("q1")?.use?.queued shouldBe 8_000
    }

    /** Guards against a queue that a new configuration no longer has and that would be served first. */
    @Test
    fun `a former queue has no share`() {
        shares.divide(70_000, uses(0L to 0L)).isBorrowing("former", 1) shouldBe true
    }

    /** Guards against weights with which a queue would have no share, or all of the capacity. */
    @Test
    fun `weights that are not positive are rejected`() {
        listOf(
            emptyList(),
            listOf(0.0),
            listOf(1.0, -1.0),
            listOf(Double.NaN),
            listOf(Double.POSITIVE_INFINITY),
        ).forEach {
            shouldThrow<IllegalArgumentException> { ShareSettings(it) }
        }
    }

    /** Guards against capacity that is guaranteed to two queues, or lent though its owner uses it. */
    @Test
    fun `no capacity is guaranteed or lent twice`() = runBlocking<Unit> {
        val weight = Arb.int(1..10_000).map { it / 100.0 }
        val cores = Arb.long(0L, 3_000_000L)
        checkAll(Arb.list(weight, 1..5), Arb.list(cores, 5..5), Arb.list(cores, 5..5), cores) {
                weights,
                used,
                queued,
                all,
            ->
            val uses = List(5) { QueueUse("q$it", it, used[it], queued[it]) }
            val ledger = CapacityShares(ShareSettings(weights)).divide(all, uses)
            ledger.shares.sumOf { it.share } shouldBeLessThanOrEqual all
            ledger.shares.forEach { (it.use.used - it.borrowed) + it.lent shouldBeLessThanOrEqual it.share }
        }
    }

    /** Tasks with one core each, served as the dispatcher does: queues below their share first. */
    private class Pool(val cores: Int, val weights: List<Double>, private val random: Random) {
        val running = List(weights.size) { ArrayList<Int>() }
        val queued = IntArray(weights.size)
        private val shares = CapacityShares(ShareSettings(weights))

        fun ledger() = shares.divide(cores * 1_000L, weights.indices.map { use(it) })

        private fun use(queue: Int) = QueueUse("$queue", queue, running[queue].size * 1_000L, queued[queue] * 1_000L)

        fun step(nowMs: Int) {
            running.forEach { ends -> ends.removeIf { it <= nowMs } }
            val ledger = ledger()
            for (borrowing in listOf(false, true)) {
                weights.indices.shuffled(random).forEach { serve(it, borrowing, ledger, nowMs) }
            }
        }

        private fun serve(queue: Int, borrowing: Boolean, ledger: ShareLedger, nowMs: Int) {
            while (queued[queue] > 0 && running.sumOf { it.size } < cores) {
                if (!borrowing && ledger.isBorrowing("$queue", 1_000)) break
                queued[queue]--
                running[queue] += nowMs + random.nextInt(1, RUN_MS + 1)
                ledger.onStarted("$queue", 1_000)
            }
        }
    }

    private val pools = arbitrary { rs ->
        val random = Random(rs.random.nextLong())
        Pool(random.nextInt(4, 60), List(random.nextInt(2, 5)) { random.nextDouble(0.5, 4.0) }, random)
    }

    /** Guards against a queue that waits below its share while another one uses more than its own. */
    @Test
    fun `no queue waits below its share for longer than the run time of what borrowed it`() = runBlocking<Unit> {
        checkAll(300, pools, Arb.int()) { pool, seed ->
            val random = Random(seed)
            val belowSince = IntArray(pool.weights.size) { -1 }
            for (nowMs in 0..400) {
                pool.queued.indices.filter { random.nextInt(4) == 0 }.forEach { pool.queued[it] += random.nextInt(20) }
                pool.step(nowMs)
                val ledger = pool.ledger()
                val isLent = ledger.shares.any { it.borrowed > 0 }
                for (queue in pool.queued.indices) {
                    val isBelow = pool.queued[queue] > 0 && !ledger.isBorrowing("$queue", 1_000)
                    if (!isBelow ||
                        !isLent
                    ) {
                        belowSince[queue] = -1
                    } else if (belowSince[queue] < 0) {
                        belowSince[queue] = nowMs
                    }
                    if (belowSince[queue] >=
                        0
                    ) {
                        (nowMs - belowSince[queue]).toLong() shouldBeLessThanOrEqual RUN_MS.toLong()
                    }
                }
            }
        }
    }

    /** Guards against tasks that wait although cores are free. */
    @Test
    fun `with capacity for all nothing waits`() = runBlocking<Unit> {
        checkAll(300, pools, Arb.int()) { pool, seed ->
            val random = Random(seed)
            for (nowMs in 0..200) {
                pool.queued.indices.forEach { pool.queued[it] += random.nextInt(6) }
                pool.step(nowMs)
                (pool.queued.sum() > 0 && pool.running.sumOf { it.size } < pool.cores) shouldBe false
            }
        }
    }

    private companion object {
        const val RUN_MS = 30
    }
}
