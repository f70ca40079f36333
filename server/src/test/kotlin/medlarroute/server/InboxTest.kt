package medlarroute.server

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

class InboxTest {
    /** Operations that Lincheck runs concurrently. */
    class Operations {
        private val inbox = Inbox<Int>(capacity = 2)

        @Operation
        fun put(item: Int) = inbox.put(item)

        @Operation
        fun tryPut(item: Int) = inbox.tryPut(item)

        @Operation(nonParallelGroup = "consumer")
        fun poll() = inbox.poll()

        @Operation
        fun size() = inbox.size
    }

    /** Guards against items that are lost, duplicated or reordered by concurrent access. */
    @Test
    fun `concurrent producers and the consumer are linearizable`() {
        ModelCheckingOptions()
            .iterations(10)
            .invocationsPerIteration(200)
            .threads(3)
            .actorsPerThread(2)
            .check(Operations::class.java)
    }

    /** Guards against a consumer that keeps waiting although an item has arrived. */
    @Test
    fun `a waiting consumer is woken by an item`() {
        val inbox = Inbox<String>(capacity = 1)
        val taken = CompletableFuture.supplyAsync { inbox.take(timeout = null) }
        inbox.put("item")
        taken.get(10, TimeUnit.SECONDS) shouldBe listOf("item")
    }

    /** Guards against an engine that never ticks while no input arrives. */
    @Test
    fun `a waiting consumer returns without items at its timeout`() {
        Inbox<String>(capacity = 1).take(Duration.ZERO).shouldBeEmpty()
    }
}
